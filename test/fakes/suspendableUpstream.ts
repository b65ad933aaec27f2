import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import { text } from "node:stream/consumers";
import { sleep } from "../../src/utils/time";
import { portOf } from "./jsonServer";
import { sseEvents } from "./upstreamScripts";

/** Work of an upstream on one request. */
export interface SuspendableWork {
    readonly firstByteMs: number;
    /** Events of a stream; undefined for a plain answer. */
    readonly events?: number;
    readonly eventIntervalMs?: number;
}

/** An upstream that can be suspended: connections still open, but nothing is read, answered or worked on until it goes on. */
export class SuspendableUpstream {
    /** Runs that began, by request. */
    readonly runs = new Map<string, number>();
    /** Runs whose connection was closed before their end. */
    cutRuns = 0;
    private awake: Promise<void> = Promise.resolve();
    private readonly sockets = new Set<Socket>();
    private readonly server = createServer((req, res) => void this.handle(req, res).catch(() => res.destroy()));

    private constructor(private readonly id: string, private readonly work: SuspendableWork) {
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
    }

    /** Starts an upstream on loopback. */
    static async create(id: string, work: SuspendableWork): Promise<SuspendableUpstream> {
        const upstream = new SuspendableUpstream(id, work);
        await new Promise<void>(resolve => upstream.server.listen(0, "127.0.0.1", () => resolve()));
        return upstream;
    }

    get address(): string {
        return `127.0.0.1:${portOf(this.server)}`;
    }

    get runCount(): number {
        return [...this.runs.values()].reduce((sum, count) => sum + count, 0);
    }

    /** Suspends it for a time. */
    suspend(ms: number): void {
        this.awake = sleep(ms);
    }

    /** Ends it: its port is closed and its connections are reset. */
    crash(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        await text(req);
        await this.awake;
        const id = req.headers["attempt-id"];
        if (req.url === "/api/report") {
            const models = [{ name: "m", version: 1, adapters: [] }];
            res.end(JSON.stringify({ models, atHand: { inMemory: [], onDisk: [] }, busy: false, seq: 0, queued: 0, active: 0, born: 1 }));
            return;
        }
        if (typeof id !== "string") {
            res.writeHead(200, { "Instance-Id": this.id }).end();
            return;
        }
        if (res.destroyed) {
            return;
        }
        this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
        res.on("close", () => this.cutRuns += res.writableFinished ? 0 : 1);
        const { firstByteMs, events, eventIntervalMs = 0 } = this.work;
        await this.pause(firstByteMs);
        const headers = { "Attempt-Id": id, "Server-Seal": `seal-${id}` };
        if (events === undefined) {
            res.writeHead(200, headers).end("done");
            return;
        }
        res.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
        for (let event = Number(req.headers["last-event-id"] ?? 0) + 1; event <= events && !res.destroyed; event++) {
            res.write(sseEvents(event, event));
            await this.pause(eventIntervalMs);
        }
        res.end();
    }

    /** Works for a time, and longer if suspended meanwhile. */
    private async pause(ms: number): Promise<void> {
        await sleep(ms);
        await this.awake;
    }
}
