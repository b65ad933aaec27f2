import { benchDataPath } from "./dataPath";
import { benchPolicy } from "./policy";
import { benchSlopes } from "./slopes";

/** `npm run bench -- policy|entry|slopes`: prints measurements; none of them passes or fails. */
const benches: Readonly<Record<string, (args: readonly string[]) => Promise<void> | void>> = { policy: benchPolicy, entry: benchDataPath, slopes: benchSlopes };

const [name, ...args] = process.argv.slice(2);
const bench = benches[name ?? ""];
if (!bench) {
    process.stderr.write(`usage: npm run bench -- ${Object.keys(benches).join("|")}\n`);
    process.exitCode = 2;
}
else {
    await bench(args);
}
