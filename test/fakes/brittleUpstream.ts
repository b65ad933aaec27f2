import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import { text } from "node:stream/consumers";
import type { Random } from "../../src/utils/random";
import type { BrittleFall } from "./brittleJudge";
import { reservePort } from "./ports";

const secondMs = 1_000;
/** Rejections of health checks and of other calls that carry no caller's request. */
const noCaller = "";

/** What does not change over the starts of a brittle upstream. */
export interface BrittleUpstreamOptions {
    readonly service: string;
    readonly slots: number;
    /** Requests that wait while it is sound, and from `contactMs` after it has become brittle. */
    readonly queue: number;
    readonly brittleQueue: number;
    readonly meanWorkMs: number;
    /** Time for which it is gone after it fell over. */
    readonly downMs: number;
    readonly contactMs: number;
    readonly random: Random;
    /** Called once a new process listens. */
    readonly onBorn: (upstream: BrittleUpstream) => void;
    /** Called when the process has ended. */
    readonly onFallen: (upstream: BrittleUpstream, fall: BrittleFall) => void;
}

/** A request that waits for a slot. */
interface Waiting {
    readonly requestId: string;
    readonly res: ServerResponse;
}

/** An upstream with slots and a queue that can be brittle: it then falls over if it has to turn away too many requests in a second. */
export class BrittleUpstream {
    private server: Server | undefined;
    private readonly sockets = new Set<Socket>();
    private running = 0;
    private waiting: Waiting[] = [];
    private rejected: { readonly at: number; readonly requestId: string; }[] = [];
    private allowedPerS: number | undefined;
    private brittleSince = Number.POSITIVE_INFINITY;
    private isClosed = false;
    /** Largest number of requests that it turned away within a second since it became brittle. */
    peakRejections = 0;
    /** Requests that began to run, by ID. */
    readonly runs = new Map<string, number>();
    bornAt = 0;

    private constructor(private readonly name: string, private readonly port: number, private readonly options: BrittleUpstreamOptions) {}

    /** Starts an upstream on loopback. */
    static async create(name: string, options: BrittleUpstreamOptions): Promise<BrittleUpstream> {
        const upstream = new BrittleUpstream(name, await reservePort(), options);
        await upstream.listen();
        return upstream;
    }

    get id(): string {
        return `${this.name}-${this.bornAt}`;
    }

    get address(): string {
        return `127.0.0.1:${this.port}`;
    }

    /** Its row in the directory. */
    get row(): object {
        const { service, slots } = this.options;
        return { service, addr: this.address, slots, born: this.bornAt };
    }

    /** Says in all answers from now on that more than `allowedPerS` rejections in a second end it; undefined if it is sound again. */
    setBrittle(allowedPerS: number | undefined): void {
        this.allowedPerS = allowedPerS;
        this.brittleSince = allowedPerS === undefined ? Number.POSITIVE_INFINITY : performance.now();
    }

    close(): void {
        this.isClosed = true;
        this.end();
    }

    private get isInForce(): boolean {
        return performance.now() >= this.brittleSince + this.options.contactMs;
    }

    private async listen(): Promise<void> {
        this.bornAt++;
        const server = createServer((req, res) => void this.handle(req, res).catch(() => res.destroy()));
        server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        await new Promise<void>(resolve => server.listen(this.port, "127.0.0.1", () => resolve()));
        this.server = server;
        this.options.onBorn(this);
    }

    /** Ends the process: its port is closed and its connections are reset. */
    private end(): void {
        this.server?.close();
        this.server = undefined;
        this.sockets.forEach(socket => socket.resetAndDestroy());
        this.waiting = [];
        this.running = 0;
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        await text(req);
        const expected = req.headers["expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            this.writeHead(res, 421, { "Instance-Id": this.id });
            res.end();
            return;
        }
        const requestId = String(req.headers["attempt-id"] ?? noCaller);
        const { slots, queue, brittleQueue } = this.options;
        if (this.running < slots) {
            this.run({ requestId, res });
        }
        else if (this.waiting.length < (this.isInForce ? brittleQueue : queue)) {
            const entry = { requestId, res };
            this.waiting.push(entry);
            res.on("close", () => this.waiting = this.waiting.filter(other => other !== entry));
        }
        else {
            this.reject(requestId, res);
        }
    }

    private reject(requestId: string, res: ServerResponse): void {
        this.writeHead(res, 503, { "Not-Executed": "1", ...(requestId === noCaller ? {} : { "Attempt-Id": requestId }) });
        res.end();
        if (!this.isInForce) {
            return;
        }
        const now = performance.now();
        this.rejected = [...this.rejected.filter(({ at }) => at > now - secondMs), { at: now, requestId }];
        this.peakRejections = Math.max(this.peakRejections, this.rejected.length);
        if (this.rejected.length > this.allowedPerS!) {
            this.fall(now);
        }
    }

    private fall(at: number): void {
        const rejected = this.rejected.map(({ requestId }) => requestId);
        this.rejected = [];
        this.end();
        this.options.onFallen(this, { service: this.options.service, upstream: this.id, at, rejected });
        setTimeout(() => this.isClosed || void this.listen(), this.options.downMs).unref();
    }

    private run({ requestId, res }: Waiting): void {
        const { random, meanWorkMs } = this.options;
        const process = this.server;
        this.running++;
        if (requestId !== noCaller) {
            this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
        }
        setTimeout(() => {
            if (this.server !== process) {
                return;
            }
            this.running--;
            const id: Readonly<Record<string, string>> = requestId === noCaller
                ? { "Instance-Id": this.id }
                : { "Attempt-Id": requestId, "Server-Seal": `seal-${requestId}` };
            this.writeHead(res, 200, id);
            res.end(`done ${requestId}`);
            const next = this.waiting.shift();
            if (next) {
                this.run(next);
            }
        }, requestId === noCaller ? 0 : meanWorkMs * (0.5 + random()));
    }

    private writeHead(res: ServerResponse, status: number, headers: Readonly<Record<string, string>>): void {
        const load = `${this.running},${this.waiting.length},${this.options.slots}`;
        const brittle: Readonly<Record<string, string>> = this.allowedPerS === undefined ? {} : { "Server-Brittle": String(this.allowedPerS) };
        res.writeHead(status, { ...headers, "Server-Load": load, ...brittle });
    }
}
