import fc from "fast-check";

const deepArray = (depth: number): string => `${"[".repeat(depth)}${"]".repeat(depth)}`;
const deepObject = (depth: number): string => `${'{"a":'.repeat(depth)}1${"}".repeat(depth)}`;

/** JSON texts of values that no sound writer puts in place of a field. */
const oddFields: readonly string[] = [
    "null",
    "true",
    '""',
    "-1",
    "0",
    "0.5",
    "1e999",
    "-1e999",
    "1e300",
    "9007199254740993",
    '"1e999"',
    '"\\u0000"',
    '"\\ud800"',
    '"__proto__"',
    '"constructor"',
    '"127.0.0.1:65536"',
    '"127.0.0.1:0"',
    '"127.0.0.1:080"',
    '"127.0.0.1:7000000000000000000000"',
    '"%zz:80"',
    '"a/b?c#d@e:80"',
    '"999.999.999.999:80"',
    '"0.0.0.0:80"',
    '"255.255.255.255:80"',
    '"[::1]:80"',
    '"127.0.0.1:80\\u0000"',
    '"127.0.0.1\\u0000:80"',
    `"${"x".repeat(100_000)}"`,
    "[]",
    "[null]",
    "[[]]",
    "{}",
    '{"__proto__":{"length":1}}',
    '{"constructor":1}',
    deepArray(20_000),
    deepObject(20_000),
];

const oddField = fc.oneof(fc.constantFrom(...oddFields), fc.jsonValue().map(value => JSON.stringify(value)));

/** Bytes of a JSON object whose fields are sound but for some, or of no object at all. */
export const oddBytesLike = (sound: Readonly<Record<string, unknown>>): fc.Arbitrary<Buffer> => {
    const names = Object.keys(sound);
    const fields = fc.array(fc.tuple(fc.constantFrom(...names, "__proto__", "toString"), oddField), { maxLength: 4 }).map(replaced => {
        const texts = new Map(names.map(name => [name, JSON.stringify(sound[name])]));
        replaced.forEach(([name, text]) => texts.set(name, text));
        return Buffer.from(`{${[...texts].map(([name, text]) => `${JSON.stringify(name)}:${text}`).join(",")}}`);
    });
    const bytes = fc.uint8Array({ maxLength: 200 }).map(array => Buffer.from(array));
    return fc.oneof({ weight: 8, arbitrary: fields }, { weight: 1, arbitrary: oddField.map(text => Buffer.from(text)) }, { weight: 1, arbitrary: bytes });
};

/** A value as `JSON.parse` returns it for such bytes. */
export const oddValueLike = (sound: Readonly<Record<string, unknown>>): fc.Arbitrary<unknown> =>
    oddBytesLike(sound).map(bytes => {
        try {
            return JSON.parse(bytes.toString()) as unknown;
        }
        catch {
            return undefined;
        }
    });

/** Values of headers as an HTTP parser may return them. */
export const oddHeader: fc.Arbitrary<string> = fc.oneof(
    fc.constantFrom(
        "",
        " ",
        "-1",
        "0",
        "1e999",
        "-1e999",
        "1e300",
        "9".repeat(400),
        "NaN",
        "Infinity",
        "0x10",
        "1,2",
        "1,-2,3",
        ",,,",
        "1e999,1,1",
        ":",
        "a:-5,b:1e999",
    ),
    fc.string({ maxLength: 40 }),
    fc.double().map(String),
);
