import type { Server } from "node:http";
import { connect } from "node:net";
import { serveJson } from "./jsonServer";

/** Time before a caller whose connection was refused calls again. */
const refusedPauseMs = 50;

/** Callers to start. */
export interface DiscardingCallersSetup {
    /** IP:PORT of the node. */
    readonly address: string;
    readonly path: string;
    readonly callers: number;
    /** Time between the end of an answer and the caller's next call. */
    readonly pauseMs?: number;
}

/** What became of the calls so far. */
export interface CallersRecord {
    readonly calls: number;
    /** Calls that have not ended. */
    readonly open: number;
    /** Longest time from a call to the end of its answer. */
    readonly longestMs: number;
    /** Calls by the status of their answers; 0 if there was none. */
    readonly statuses: Readonly<Record<string, number>>;
}

/** Starts callers that discard what they get and call again once it has ended, until `POST /stop`; `GET /record` tells what became of their calls. */
export const startDiscardingCallers = (port: number, { address, path, callers, pauseMs = 0 }: DiscardingCallersSetup): Promise<Server> => {
    const statuses: Record<string, number> = {};
    const record = { calls: 0, open: 0, longestMs: 0, statuses };
    let isStopped = false;
    const [host, nodePort] = address.split(":");
    const head = `POST ${path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id-1\r\nDeadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
    const call = (): void => {
        if (isStopped) {
            return;
        }
        record.calls++;
        record.open++;
        const startedAt = performance.now();
        let status = "0";
        const socket = connect(Number(nodePort), host, () => socket.write(head));
        socket.on("error", () => undefined);
        socket.once("data", chunk => status = chunk.toString("latin1", 9, 12));
        socket.on("data", () => undefined);
        socket.once("close", () => {
            record.open--;
            record.longestMs = Math.max(record.longestMs, Math.round(performance.now() - startedAt));
            statuses[status] = (statuses[status] ?? 0) + 1;
            setTimeout(call, status === "0" ? refusedPauseMs : pauseMs);
        });
    };
    Array.from({ length: callers }, call);
    return serveJson(port, {
        "GET /record": () => record,
        "POST /stop": () => {
            isStopped = true;
            return {};
        },
    });
};
