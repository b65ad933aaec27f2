import { once } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { text } from "node:stream/consumers";
import { z } from "zod";
import type { RunnerOrder } from "../../src/types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../../src/types/runner";
import type { EngineSpec } from "../../src/types/servingConfig";
import type { Random } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import { portOf } from "../fakes/jsonServer";
import { reservePort } from "../fakes/ports";
import { SimulatedPlatformRunner } from "../fakes/simulatedPlatformRunner";
import type { BrittleTimes } from "./brittleTimes";
import type { CrashingPrompts } from "./crashingPrompts";
import { FaultProxy } from "./faultProxy";
import type { InvariantChecker } from "./invariantChecker";
import { streamBody, streamEventCount } from "./invariantChecker";
import type { NamedLimits } from "./namedLimits";
import type { UpstreamFaults } from "./upstreamFaults";
import { isLinkSound } from "./upstreamWords";

const processingMs = 40;
const eventIntervalMs = 60;

const statusByOrderAnswer: Readonly<Record<RunnerOrderAnswer, number>> = {
    [RunnerOrderAnswer.Accepted]: 202,
    [RunnerOrderAnswer.Done]: 200,
    [RunnerOrderAnswer.Conflict]: 409,
    [RunnerOrderAnswer.StaleEpoch]: 412,
    [RunnerOrderAnswer.Invalid]: 400,
    [RunnerOrderAnswer.WrongInstance]: 421,
    [RunnerOrderAnswer.Unknown]: 500,
};

const orderSchema = z.object({
    op: z.string(),
    model: z.string(),
    adapter: z.string().optional(),
    expected: z.number(),
    holder: z.string(),
    fence: z.number(),
});

/** What upstreams share. */
interface SoakUpstreamContext {
    readonly checker: InvariantChecker;
    readonly random: Random;
    readonly prompts: CrashingPrompts;
    readonly limits: NamedLimits;
    readonly brittle: BrittleTimes;
}

/** Whether the answer to a request has neither a length nor chunks and ends with its connection; one in three does. */
const isAnswerUnframed = (id: string): boolean => Number(id.split("-").at(-1)) % 3 === 0;

/** Path of health checks, which are no requests. */
export const healthPath = "/h";

/** An upstream of the platform behind a proxy: a runner of an engine service, or an instance of a plain service. */
export class SoakUpstream {
    readonly faults: UpstreamFaults = { lostAnswers: 0, refusals: 0, lateOrders: 0 };
    /** When its directory row changed to draining, on the monotonic clock. */
    leavingSince: number | undefined;
    isGone = false;
    /** Whether it is about to be removed, and whether its answers say so. */
    isWithdrawn = false;
    saysLeaving = false;
    /** Until this time, on the monotonic clock, it turns requests away and asks for quiet. */
    quietUntil = 0;

    private constructor(
        readonly id: string,
        readonly service: string,
        readonly proxy: FaultProxy,
        readonly simulatedRunner: SimulatedPlatformRunner | undefined,
        private readonly server: Server,
        private readonly checker: InvariantChecker,
        private readonly random: Random,
        private readonly prompts: CrashingPrompts,
        private readonly limits: NamedLimits,
        private readonly brittle: BrittleTimes,
    ) {}

    static async create(
        id: string,
        service: string,
        engine: EngineSpec | undefined,
        { checker, random, prompts, limits, brittle }: SoakUpstreamContext,
    ): Promise<SoakUpstream> {
        const server = createServer((req, res) => void upstream.handle(req, res).catch(() => res.destroy()));
        const port = await reservePort();
        await new Promise<void>(resolve => server.listen(port, "127.0.0.1", () => resolve()));
        const initialModels = engine && [...engine.models.keys()].filter(() => random() < 0.3).slice(0, 2);
        const simulatedRunner = engine && SimulatedPlatformRunner.create(id, engine, random, initialModels!);
        const proxy = await FaultProxy.create(portOf(server));
        const upstream: SoakUpstream = new SoakUpstream(id, service, proxy, simulatedRunner, server, checker, random, prompts, limits, brittle);
        return upstream;
    }

    /** Runners of two versions serve side by side. */
    private get softwareVersion(): string {
        return Number(this.id.slice(1)) % 2 === 0 ? "v1" : "v1.1";
    }

    /** Its row in the directory, as written to the store. */
    get directoryRow(): object {
        return {
            service: this.service,
            addr: this.proxy.address,
            zone: "a",
            version: this.softwareVersion,
            slots: 16,
            state: this.leavingSince === undefined ? "ready" : "draining",
            models: this.simulatedRunner?.report().models ?? [],
            born: 1,
        };
    }

    /** Stops at once; the connections of requests in flight are destroyed. */
    crash(): void {
        this.isGone = true;
        this.proxy.close();
        this.server.closeAllConnections();
        this.server.close();
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body = await text(req);
        if (this.saysLeaving) {
            res.setHeader("Server-Leaving", "1");
        }
        Object.entries(this.brittle.headersOf(this)).forEach(([name, value]) => res.setHeader(name, value));
        const expected = req.headers["expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            res.writeHead(421, { "Instance-Id": this.id }).end();
            return;
        }
        if (req.url === healthPath) {
            res.writeHead(this.saysLeaving ? 503 : 200, { "Instance-Id": this.id }).end();
            return;
        }
        if (req.url === "/api/report") {
            const { isBusy, acceptedOrders, queued, active, models, inMemory, onDisk, loadingAdapters: coming } = this.simulatedRunner!.report();
            res.end(JSON.stringify({ models, atHand: { inMemory, onDisk }, coming, busy: isBusy, seq: acceptedOrders, queued, active, born: 1 }));
            return;
        }
        if (req.url === "/api/order") {
            this.handleOrder(body, res);
            return;
        }
        await this.handleInRoom(req, res);
    }

    /** Handles a request if there is room for it. */
    private async handleInRoom(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const id = String(req.headers["attempt-id"]);
        if (!this.brittle.onArrival(this, id)) {
            res.writeHead(503, { "Not-Executed": "1", "Attempt-Id": id }).end();
            return;
        }
        try {
            await this.handleRequest(req, res);
        }
        finally {
            if (this.isGone) {
                this.checker.onBrokenOff(id);
            }
            this.brittle.onEnd(this);
        }
    }

    private handleOrder(body: string, res: ServerResponse): void {
        const { op, model, adapter, expected, holder, fence } = orderSchema.parse(JSON.parse(body));
        const kind = op === "load_model" ? RunnerOrderKind.Load : RunnerOrderKind.Unload;
        const order: RunnerOrder = { kind, model, adapter, expectedAcceptedOrders: expected, holder, epoch: fence };
        this.checker.onOrder(this.id, order);
        if (this.random() < this.faults.lateOrders) {
            setTimeout(() => this.isGone || this.simulatedRunner!.applyOrder(order), 500 + this.random() * 4_000);
            return;
        }
        res.writeHead(statusByOrderAnswer[this.simulatedRunner!.applyOrder(order)]).end();
    }

    private async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const id = String(req.headers["attempt-id"]);
        const { words } = this.checker;
        words.onArrival(this.id, id);
        const quietMs = this.quietUntil - performance.now();
        if (quietMs > 0) {
            if (isLinkSound(this)) {
                words.onQuietAsked(this.id, id, quietMs);
            }
            res.writeHead(503, { "Not-Executed": "1", "Retry-After": (quietMs / 1_000).toFixed(2) }).end();
            return;
        }
        const [model, adapter] = String(req.headers.model ?? "").split("/");
        const loadedModel = this.simulatedRunner?.models.get(model!);
        if (this.simulatedRunner && (!loadedModel || (adapter !== undefined && !loadedModel.adapters.has(adapter)))) {
            res.writeHead(421, { "Instance-Id": this.id }).end();
            return;
        }
        if (this.random() < this.faults.refusals) {
            res.writeHead(503, { "Not-Executed": "1" }).end();
            return;
        }
        this.checker.onRun(id, this.id);
        const isAnswerLost = this.random() < this.faults.lostAnswers;
        await sleep(processingMs);
        if (isAnswerLost) {
            this.checker.onBrokenOff(id);
            req.socket.resetAndDestroy();
            return;
        }
        const limitPerS = this.limits.onArrival(this.id, id);
        const limit = limitPerS === undefined ? {} : { "Server-Limit": String(limitPerS) };
        words.onAnswered(this.id, id, this.saysLeaving && isLinkSound(this));
        const isUnframed = isAnswerUnframed(id);
        res.useChunkedEncodingByDefault = !isUnframed;
        const headers = { "Attempt-Id": id, "Server-Seal": `seal-${id}`, "Server-Load": "1,0,16", ...limit, ...(isUnframed ? { Connection: "close" } : {}) };
        this.limits.onNamed(this.id);
        if (!this.simulatedRunner && this.prompts.onRun(id)) {
            req.socket.destroy();
            await this.prompts.crash(this);
            return;
        }
        if (!this.simulatedRunner) {
            res.writeHead(200, headers);
            res.write(`${id} done`);
            res.end();
            return;
        }
        res.writeHead(200, headers);
        if (this.prompts.onRun(id)) {
            res.end("id: 1\ndata: pie");
            await once(res, "finish");
            setTimeout(() => void this.prompts.crash(this), 10);
            return;
        }
        const lastEventId = Number(req.headers["last-event-id"] ?? 0);
        this.checker.streamRuns.onRun(String(req.headers.resumes ?? id), this.softwareVersion, lastEventId);
        for (let event = lastEventId + 1; event <= streamEventCount && !res.destroyed; event++) {
            res.write(streamBody(id, event).split("\n\n", 1)[0]! + "\n\n");
            await sleep(eventIntervalMs);
        }
        res.end();
    }
}
