// Formats the TypeScript sources with dprint's TypeScript plugin. `--check` only lists the files that are not formatted and exits with code 1 if
// there are any.
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";

const { lineWidth, indentWidth, newLineKind, typescript } = JSON.parse(readFileSync("dprint.json", "utf8"));
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig({ lineWidth, indentWidth, newLineKind }, typescript);
const isCheck = process.argv.includes("--check");
for (const folder of ["src", "test", "bench", "demo", "scripts"]) {
    for (const name of readdirSync(folder, { recursive: true }).filter(name => name.endsWith(".ts"))) {
        const filePath = `${folder}/${name}`;
        const fileText = readFileSync(filePath, "utf8");
        const formatted = formatter.formatText({ filePath, fileText });
        if (formatted === fileText) {
            continue;
        }
        if (isCheck) {
            console.error(`${filePath} is not formatted: run npm run format`);
            process.exitCode = 1;
        }
        else {
            writeFileSync(filePath, formatted);
        }
    }
}
