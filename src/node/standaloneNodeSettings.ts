import { z } from "zod";

/** Describes one setting: a flag and the environment variable of the same name. */
export interface SettingDefinition {
    readonly flag: string;
    readonly env: string;
    readonly unit: string;
    readonly defaultValue: string | undefined;
    readonly description: string;
    readonly allowed: string;
    readonly schema: z.ZodType;
    /** Whether messages must not show the value. */
    readonly secret: boolean;
}

const envPrefix = "JACKDAWTRAIL_";
const isUrl = (text: string): boolean => {
    try {
        return ["http:", "https:"].includes(new URL(text).protocol);
    }
    catch {
        return false;
    }
};
const text = z.string().min(1);
const url = z.string().refine(isUrl).transform(value => value.replace(/\/+$/, ""));
const address = z.string().regex(/^(\[[0-9a-fA-F:]+\]|[0-9.]+):\d{1,5}$/).refine(value => Number(value.slice(value.lastIndexOf(":") + 1)) <= 65_535);
const whole = (least: number, most: number) => z.coerce.number().int().min(least).max(most);
const secretText = z.string().min(16);

interface Spec<T extends z.ZodType> {
    readonly schema: T;
    readonly allowed: string;
    readonly description: string;
    readonly unit?: string;
    readonly defaultValue?: string;
    readonly secret?: boolean;
}
const spec = <T extends z.ZodType>(value: Spec<T>): Spec<T> => value;
const wholeSpec = (least: number, most: number, defaultValue: number, unit: string, description: string) =>
    spec({ schema: whole(least, most), allowed: `a whole number from ${least} to ${most}`, unit, defaultValue: String(defaultValue), description });

const specs = {
    listen: spec({ schema: address, allowed: "IP:port, for example 10.0.0.5:8080", description: "address on which the node listens" }),
    nodeId: spec({ schema: text, allowed: "a text", description: "name of the VM, as in the platform's VM list" }),
    availabilityZone: spec({ schema: text, allowed: "a text", description: "availability zone of the VM" }),
    advertiseUrl: spec({ schema: url, allowed: "an http or https URL", description: "URL under which peers and callers reach the node" }),
    tableUrl: spec({ schema: url, allowed: "an http or https URL", description: "the platform's table service" }),
    objectStoreUrl: spec({ schema: url, allowed: "an http or https URL", description: "the platform's object store" }),
    vmListUrl: spec({ schema: url, allowed: "an http or https URL", description: "the platform's VM list" }),
    peerSecret: spec({ schema: secretText, allowed: "at least 16 characters", secret: true, description: "shared secret of the nodes" }),
    operatorToken: spec({ schema: secretText, allowed: "at least 16 characters", secret: true, description: "bearer token of the operators" }),
    tlsKeyFile: spec({ schema: text.optional(), allowed: "a file path", description: "private key in PEM; with a certificate, the node speaks TLS" }),
    tlsCertificateFile: spec({ schema: text.optional(), allowed: "a file path", description: "certificate in PEM" }),
    tlsCaFile: spec({ schema: text.optional(), allowed: "a file path", description: "authority in PEM by which peers are checked" }),
    logLevel: spec({
        schema: z.enum(["debug", "info", "warn", "error"]),
        allowed: "debug, info, warn or error",
        defaultValue: "info",
        description: "least level that is logged",
    }),
    traceFile: spec({ schema: text.optional(), allowed: "a file path", description: "file to which every decision is written as a JSON line, for replay" }),
    maxBodyBytes: wholeSpec(1_024, 1_073_741_824, 4_194_304, "bytes", "largest body of a caller's request"),
    bodyTimeoutMs: wholeSpec(100, 600_000, 10_000, "ms", "time in which a caller's body must arrive"),
    defaultDeadlineMs: wholeSpec(100, 3_600_000, 120_000, "ms", "deadline of a request that names none"),
    queueCapacity: wholeSpec(0, 100_000, 256, "requests", "requests that may wait for an upstream"),
    configPollMs: wholeSpec(100, 60_000, 2_000, "ms", "pause between two reads of the change feed"),
    vmListPollMs: wholeSpec(100, 60_000, 1_000, "ms", "pause between two reads of the VM list"),
    reportPollMs: wholeSpec(50, 60_000, 1_000, "ms", "pause between two load reports of one runner"),
    peerExchangeMs: wholeSpec(50, 60_000, 2_000, "ms", "pause between two digest exchanges inside the zone"),
    zoneExchangeMs: wholeSpec(50, 600_000, 10_000, "ms", "pause between two digest exchanges with another zone"),
    stewardMs: wholeSpec(50, 60_000, 1_000, "ms", "pause between two rounds of placement"),
    drainDelayMs: wholeSpec(0, 600_000, 8_000, "ms", "time for which a copy is out of routing before it may be unloaded"),
    orderLatenessMs: wholeSpec(0, 3_600_000, 10_000, "ms", "longest time after which an order to an engine may still arrive"),
    loadsAtOnce: wholeSpec(1, 10_000, 4, "loads", "loads of models that one zone may have under way"),
    copyRate: spec({
        schema: z.coerce.number().positive().max(1e6),
        allowed: "a number above 0",
        unit: "requests/s",
        defaultValue: "1",
        description: "requests a second that one copy answers within target",
    }),
    moveCost: spec({
        schema: z.coerce.number().min(0).max(1e6),
        allowed: "a number, 0 or more",
        unit: "requests/s",
        defaultValue: "0.2",
        description: "requests a second that a move must win; higher means fewer moves, lower means more attainment",
    }),
    stopNoticeMs: wholeSpec(0, 600_000, 2_000, "ms", "time for which a stopping node says not ready before it closes its listener"),
    stopGraceMs: wholeSpec(0, 3_600_000, 120_000, "ms", "time after which a stopping node cuts what is left"),
};

type Specs = typeof specs;
/** The checked settings of a node. */
export type StandaloneNodeSettings = { readonly [K in keyof Specs]: z.output<Specs[K]["schema"]>; };
/** Name of a setting in the program. */
export type SettingName = keyof Specs;

const kebab = (name: string): string => name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/** All settings by name. */
export const settingDefinitions: Readonly<Record<SettingName, SettingDefinition>> = Object.fromEntries(
    Object.entries(specs as Record<string, Spec<z.ZodType>>).map(([name, { schema, allowed, description, unit, defaultValue, secret }]) => [name, {
        flag: `--${kebab(name)}`,
        env: `${envPrefix}${kebab(name).replaceAll("-", "_").toUpperCase()}`,
        unit: unit ?? "",
        defaultValue,
        description,
        allowed,
        schema,
        secret: secret ?? false,
    }]),
) as Record<SettingName, SettingDefinition>;

/** A setting that is missing or not allowed. */
export interface SettingFault {
    readonly name: string;
    readonly value: string | undefined;
    readonly allowed: string;
}

/** Outcome of checking all settings. */
export type StandaloneNodeSettingsResult = { readonly ok: true; readonly settings: StandaloneNodeSettings; } | {
    readonly ok: false;
    readonly faults: readonly SettingFault[];
};

/** Checks all settings and lists every fault at once. */
export const readSettings = (given: Readonly<Partial<Record<SettingName, string>>>): StandaloneNodeSettingsResult => {
    const faults: SettingFault[] = [];
    const settings: Record<string, unknown> = {};
    for (const [name, setting] of Object.entries(settingDefinitions)) {
        const value = given[name as SettingName] ?? setting.defaultValue;
        const result = setting.schema.safeParse(value);
        if (result.success) {
            settings[name] = result.data;
        }
        else {
            const shown = setting.secret && value !== undefined ? `${value.length} characters` : value;
            faults.push({ name: `${setting.flag} (${setting.env})`, value: shown, allowed: setting.allowed });
        }
    }
    if ((given.tlsKeyFile === undefined) !== (given.tlsCertificateFile === undefined)) {
        faults.push({
            name: settingDefinitions.tlsKeyFile.flag,
            value: given.tlsKeyFile,
            allowed: `only together with ${settingDefinitions.tlsCertificateFile.flag}`,
        });
    }
    return faults.length > 0 ? { ok: false, faults } : { ok: true, settings: settings as StandaloneNodeSettings };
};
