import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { describe, it } from "node:test";
import { reservePort } from "./fakes/ports";

const portsPerProcess = 150;
const processCount = 4;
const firstPortOfOutgoingConnections = 32_768;

describe("ports of test servers", () => {
    it("are reserved by one process at a time, also when several reserve at once", async () => {
        const holders = [...Array(processCount).keys()].map(() =>
            spawn(process.execPath, ["--import", "tsx", "test/fakes/holdPorts.ts", String(portsPerProcess)], { stdio: ["pipe", "pipe", "inherit"] })
        );
        const lists = await Promise.all(
            holders.map(({ stdout }) => new Promise<string[]>(resolve => createInterface({ input: stdout }).once("line", line => resolve(line.split(" "))))),
        );
        holders.forEach(({ stdin }) => stdin.end());
        const ports = lists.flat();
        assert.equal(ports.length, processCount * portsPerProcess);
        assert.equal(new Set(ports).size, ports.length, "a port was reserved twice");
    });

    it("are not reserved twice by one process, and stay clear of the ports of outgoing connections", async () => {
        const ports = await Promise.all([...Array(20).keys()].map(() => reservePort()));
        assert.equal(new Set(ports).size, ports.length);
        assert.ok(ports.every(port => port < firstPortOfOutgoingConnections));
    });
});
