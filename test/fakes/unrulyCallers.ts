import assert from "node:assert/strict";
import { readdirSync } from "node:fs";
import type { Socket } from "node:net";
import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/time";
import { callGateway } from "./gatewayHarness";
import { PlatformProcess } from "./platformProcess";
import { waitFor } from "./processes";
import { startScriptedUpstream } from "./scriptedUpstream";
import { UnrulyCrowd } from "./unrulyCrowd";
import type { UnrulyForm } from "./unrulyForm";
import { UnrulyChange, UnrulyPort } from "./unrulyForm";

const startTimeoutMs = 15_000;
/** How long the callers misbehave, unless a form says otherwise. */
const misbehaveMs = 5_000;
/** Interval of new configurations. */
const configureMs = 500;
/** A process that has not ended this long after its grace period hangs. */
const maxStopMs = 60_000;
/** Time that the slow route's upstream takes. */
const slowAnswerMs = 4_000;
/** After the callers have left, one ordinary request must be answered within this time. */
const recoveryMs = 30_000;
const samplePauseMs = 100;
const limits = { maxHeaderBytes: 8_192, maxBodyBytes: 4_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 4_000 };
const usualDescriptors = 1_000;
const largestAnswerBytes = 4_000_000;

const largeAnswer = "x".repeat(largestAnswerBytes);
const filling = "y".repeat(65_536);

/** A request without a body. */
export const requestOf = (path: string, headers = "Attempt-Id: id-1\r\nDeadline-Ms: 4000\r\n", version = "1.1"): string =>
    `GET ${path} HTTP/${version}\r\nHost: shop.example\r\n${headers}\r\n`;

/** Forms that are tried at a small node, and some of them at a larger one, too. */
interface Form extends UnrulyForm {
    readonly isAtLarger?: boolean;
}

/** Writes a text and then pieces without an end, as fast as they are taken. */
const flood = (first: string, piece: string) => (socket: Socket): void => {
    const write = (): void => {
        while (!socket.destroyed && socket.write(piece)) {
            // The socket's buffer takes more.
        }
    };
    socket.pause();
    socket.write(first);
    socket.on("drain", write);
    write();
};

/** Reads one byte a second. */
const readSlowly = (text: string) => (socket: Socket): void => {
    socket.on("readable", () => undefined);
    socket.write(text);
    const timer = setInterval(() => socket.destroyed ? clearInterval(timer) : socket.read(1), 1_000);
};

export const writeUnread = (text: string) => (socket: Socket): void => {
    socket.pause();
    socket.write(text);
};

const bodyHead = (framing: string, size: string): string => `POST /small/x HTTP/1.1\r\nHost: shop.example\r\n${framing}: ${size}\r\n\r\n`;
const largestBody = "z".repeat(limits.maxBodyBytes);

const forms: readonly Form[] = [
    {
        name: "pipelined requests, unread, without Host, ID and deadline",
        isAtLarger: true,
        callers: 60,
        begin: writeUnread("GET /small/x HTTP/1.1\r\n\r\n".repeat(2_000)),
    },
    { name: "pipelined requests, unread, without ID and deadline", callers: 60, begin: writeUnread(requestOf("/small/x", "").repeat(2_000)) },
    { name: "pipelined requests for the largest answers, unread", isAtLarger: true, callers: 60, begin: writeUnread(requestOf("/large/x").repeat(200)) },
    { name: "pipelined requests without end, unread", callers: 60, begin: flood("", requestOf("/small/x", "").repeat(100)) },
    {
        name: "pipelined requests of HTTP/1.0, unread",
        callers: 60,
        begin: writeUnread(requestOf("/small/x", "Connection: keep-alive\r\n", "1.0").repeat(2_000)),
    },
    { name: "one byte a second of the largest answers", isAtLarger: true, callers: 100, begin: readSlowly(requestOf("/large/x")) },
    { name: "one byte a second of the largest answers, HTTP/1.0", callers: 100, begin: readSlowly(requestOf("/large/x", "", "1.0")) },
    { name: "one byte a second of streams", callers: 100, begin: readSlowly(requestOf("/stream/x")) },
    {
        name: "the largest bodies by length, unread",
        isAtLarger: true,
        callers: 60,
        begin: writeUnread(bodyHead("Content-Length", String(limits.maxBodyBytes)) + largestBody),
    },
    {
        name: "the largest bodies in chunks of one byte, unread",
        isAtLarger: true,
        callers: 60,
        begin: flood(bodyHead("Transfer-Encoding", "chunked"), "1\r\nx\r\n".repeat(5_000)),
    },
    { name: "chunk extensions without end", callers: 60, begin: flood(`${bodyHead("Transfer-Encoding", "chunked")}1;`, filling) },
    { name: "many small connections that send nothing", callers: 3_000, begin: () => undefined },
    { name: "many small connections with one request each", callers: 3_000, begin: writeUnread(requestOf("/small/x", "")) },
    { name: "bytes that are no request", callers: 60, begin: flood("", filling) },
];

const addressOf: Readonly<Record<UnrulyPort, (node: PlatformProcess) => string>> = {
    [UnrulyPort.Callers]: node => node.front,
    [UnrulyPort.Peers]: node => node.control,
    [UnrulyPort.Readiness]: node => node.ready,
    [UnrulyPort.Metrics]: node => node.metricsAddress,
};

const stateOf = ({ process: { exitCode, signalCode } }: PlatformProcess): string => String(exitCode ?? signalCode ?? "runs");

const startUpstream = () =>
    startScriptedUpstream((socket, { head, id }) => {
        const body = head.includes(" /large/") ? largeAnswer : "done";
        const start = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n`;
        if (head.includes(" /stream/")) {
            const event = `id: 1\ndata: ${"s".repeat(10_000)}\n\n`;
            socket.write(`${start}Content-Type: text/event-stream\r\nContent-Length: ${event.length * 400}\r\n\r\n`);
            socket.write(event.repeat(400));
            return;
        }
        const answer = (): boolean => socket.write(`${start}Content-Length: ${body.length}\r\n\r\n${body}`);
        if (head.includes(" /slow/")) {
            setTimeout(answer, slowAnswerMs);
            return;
        }
        answer();
    });

const routeOf = (name: string, routeKind: string, timeoutMs = 4_000): object => ({
    name,
    host: "shop.example",
    prefix: `/${name}/`,
    routeKind,
    timeoutMs,
    service: "s",
    attempts: 1,
});

const config = {
    limits,
    routes: [
        routeOf("small", "non_idempotent"),
        routeOf("large", "idempotent"),
        routeOf("stream", "streaming"),
        routeOf("slow", "non_idempotent", 2 * slowAnswerMs),
    ],
    services: [{ name: "s", healthPath: "/h", maxConns: 500 }],
};

/** Puts newer configurations until the callback that is returned is called. */
const putConfigurations = (node: PlatformProcess): () => void => {
    let version = 3;
    const timer = setInterval(() => node.putConfiguration({ ...config, version: ++version }), configureMs);
    return () => clearInterval(timer);
};

const changes: Readonly<Record<UnrulyChange, (node: PlatformProcess) => () => void>> = {
    [UnrulyChange.Configurations]: putConfigurations,
    [UnrulyChange.Stop]: () => () => undefined,
};

/** Most descriptors and memory of a process, as far as it was there to be looked at. */
const watchProcess = (node: PlatformProcess): { readonly descriptors: () => number; readonly memoryMb: () => number; look(): void; } => {
    let descriptors = 0;
    let memoryMb = 0;
    const look = (): void => {
        try {
            descriptors = Math.max(descriptors, readdirSync(`/proc/${node.process.pid}/fd`).length);
            memoryMb = Math.max(memoryMb, node.peakMemoryMb);
        }
        catch {
            // The process has ended since its state was asked.
        }
    };
    return { descriptors: () => descriptors, memoryMb: () => memoryMb, look };
};

const tryForm = async (memoryMb: number, form: UnrulyForm, context: TestContext): Promise<void> => {
    const { port = UnrulyPort.Callers, heapMb, change, descriptors: maxDescriptors = usualDescriptors, forMs = misbehaveMs } = form;
    const upstream = await startUpstream();
    const options = heapMb === undefined ? [] : [`--max-old-space-size=${heapMb}`];
    const rows = { u1: { service: "s", addr: upstream.address, slots: 400 } };
    const node = await PlatformProcess.start(8, config, rows, undefined, maxDescriptors, [], "127.0.0.1", "a", memoryMb, options);
    const isAnswered = async (): Promise<boolean> => (await callGateway(node.front, { path: "/small/x" })).status === 200;
    const watch = watchProcess(node);
    const lookWhile = async (condition: () => boolean): Promise<void> => {
        while (condition() && stateOf(node) === "runs") {
            watch.look();
            await sleep(samplePauseMs);
        }
    };
    let crowd: UnrulyCrowd | undefined;
    let endChange: (() => void) | undefined;
    try {
        await waitFor("an answer", isAnswered, startTimeoutMs);
        crowd = UnrulyCrowd.create(form, addressOf[port](node));
        endChange = change && changes[change](node);
        const until = performance.now() + forMs;
        await lookWhile(() => performance.now() < until);
        assert.equal(stateOf(node), "runs", "the process ended");
        if (change === UnrulyChange.Stop) {
            node.process.kill("SIGTERM");
            const stopUntil = performance.now() + maxStopMs;
            await lookWhile(() => performance.now() < stopUntil);
            assert.equal(stateOf(node), "0", `the process did not end as asked: ${stateOf(node)}`);
        }
        else {
            crowd.leave();
            const left = performance.now();
            await waitFor("an answer to an ordinary request", isAnswered, recoveryMs);
            assert.ok(
                performance.now() - left <= recoveryMs,
                `an ordinary request was answered ${Math.round(performance.now() - left)} ms after the callers had left`,
            );
            assert.equal(stateOf(node), "runs", "the process ended");
            watch.look();
        }
        context.diagnostic(`${Math.round(watch.memoryMb())} MB, ${watch.descriptors()} descriptors at most`);
        assert.ok(watch.descriptors() < maxDescriptors, `${watch.descriptors()} descriptors`);
        assert.ok(watch.memoryMb() <= memoryMb, `${Math.round(watch.memoryMb())} MB`);
    }
    finally {
        endChange?.();
        crowd?.leave();
        node.close();
        upstream.close();
    }
};

/** Runs forms, one after the other, each at a node process of its own with the given memory. */
export const testUnrulyForms = (memoryMb: number, tried: readonly UnrulyForm[]): void => {
    describe(`a node process of ${memoryMb} MB with misbehaving callers`, () => {
        for (const form of tried) {
            it(`lives, keeps within its memory and answers afterwards: ${memoryMb} MB, ${form.name}`, context => tryForm(memoryMb, form, context));
        }
    });
};

/** Runs the forms at a node process of a size; at a larger one only those that are for it. */
export const testUnrulyCallers = (memoryMb: number, isLarger: boolean): void =>
    testUnrulyForms(memoryMb, forms.filter(({ isAtLarger }) => !isLarger || isAtLarger));
