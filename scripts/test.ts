// Runs the tests. Failures that KNOWN-RED.txt names are printed and passed over; any other failure fails the run.
import { readdirSync, readFileSync } from "node:fs";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const fieldSeparator = " | ";
const knownRed = new Set(
    readFileSync("KNOWN-RED.txt", "utf8").split("\n").filter(line => line.includes(fieldSeparator) && !line.startsWith("#")).map(line =>
        line.split(fieldSeparator)[0]!.trim()
    ),
);
const wanted = process.argv.slice(2);
const files = readdirSync("test").filter(file => file.endsWith(".test.ts") && (wanted.length === 0 || wanted.some(name => file.includes(name)))).map(file =>
    `test/${file}`
);
let passed = 0;
let failed = 0;
const red: string[] = [];
const failures: string[] = [];

const stream = run({ files, concurrency: 4, timeout: 170_000 });
stream.on("test:pass", ({ details }) => {
    passed += details.type === "suite" ? 0 : 1;
});
stream.on("test:fail", ({ name, details }) => {
    const failureType = (details.error as { failureType?: string; }).failureType;
    if (details.type === "suite" || failureType === "subtestsFailed") {
        return;
    }
    if (knownRed.has(name)) {
        red.push(name);
        return;
    }
    failed++;
    failures.push(name);
});
stream.pipe(new spec()).pipe(process.stdout);
process.once("exit", () => {
    red.forEach(name => console.log(`known red, passed over: ${name}`));
    failures.forEach(name => console.log(`failed: ${name}`));
    console.log(`${passed} passed, ${failed} failed`);
    process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
});
