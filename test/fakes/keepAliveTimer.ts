import { readFileSync } from "node:fs";

const keepAliveTimer = "02";
/** Units in which the kernel states the time until a timer. */
const ticksPerSecond = 100;
const localColumn = 1;
const remoteColumn = 2;
const timerColumn = 5;

const portIn = (address: string): number => parseInt(address.split(":")[1]!, 16);

/** Seconds until the kernel sends a keep-alive probe on the connection between two ports, as seen from the first one; undefined if it sends none. */
export const keepAliveSeconds = (localPort: number, remotePort: number): number | undefined => {
    const lines = readFileSync("/proc/net/tcp", "utf8").trim().split("\n").slice(1).map(line => line.trim().split(/\s+/));
    const fields = lines.find(columns => portIn(columns[localColumn]!) === localPort && portIn(columns[remoteColumn]!) === remotePort);
    if (!fields) {
        throw new Error(`no connection from port ${localPort} to ${remotePort}`);
    }
    const [timer, ticks] = fields[timerColumn]!.split(":");
    return timer === keepAliveTimer ? parseInt(ticks!, 16) / ticksPerSecond : undefined;
};
