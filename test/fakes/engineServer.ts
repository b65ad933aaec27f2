import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { EngineOrder } from "../../src/types/order";
import { OrderAnswer } from "../../src/types/order";
import { alreadyAnswered, serveJson, StatusResponse } from "./jsonServer";
import { SimulatedEngine } from "./simulatedEngine";
import type { EngineSetup } from "./simulatedEngine";

/** Faults that an engine injects. A count is decremented each time its fault is injected. */
interface EngineFaults {
    crossNext: number;
    truncateNext: number;
    refuseNext: number;
    resetNext: number;
    dropOrders: number;
    orderDelayMs: number;
    reportLagMs: number;
    leaving: boolean;
    restart: boolean;
}

interface GenerationRequest {
    readonly model: string;
    readonly adapter?: string;
    readonly messages?: unknown;
    readonly prompt?: unknown;
    readonly max_tokens?: number;
    readonly resume_offset?: number;
    readonly resume_text?: string;
}

const statusByAnswer: Readonly<Record<OrderAnswer, number>> = {
    [OrderAnswer.Accepted]: 202,
    [OrderAnswer.StaleFence]: 412,
    [OrderAnswer.Refused]: 409,
    [OrderAnswer.Unknown]: 500,
};
const defaultTokens = 16;

/** Tokens of the answer to a prompt. They depend only on the model and the prompt, so that an answer resumed by another engine can be checked. */
export const expectedTokens = (model: string, prompt: unknown, count = defaultTokens): readonly string[] => {
    const seed = createHash("md5").update(`${model}${JSON.stringify(prompt)}`).digest();
    return [...Array(count).keys()].map(index => `${(seed[index % seed.length]! * 31 + index * 7) % 1_000} `);
};

/** Serves a simulated engine by the product's own engine protocol, with injected faults. */
export const startEngineServer = (port: number, setup: EngineSetup & { readonly firstTokenMs: number; readonly tokenMs: number; }) => {
    const engine = SimulatedEngine.create(setup);
    const faults: EngineFaults = {
        crossNext: 0,
        truncateNext: 0,
        refuseNext: 0,
        resetNext: 0,
        dropOrders: 0,
        orderDelayMs: 0,
        reportLagMs: 0,
        leaving: false,
        restart: false,
    };
    let delayedReport = engine.report();
    let received = 0;
    const consumeFault = (name: "crossNext" | "truncateNext" | "refuseNext" | "resetNext" | "dropOrders"): boolean => faults[name] > 0 && faults[name]-- > 0;

    const stream = async (body: GenerationRequest, attemptId: string, res: ServerResponse, isChat: boolean): Promise<void> => {
        const tokens = expectedTokens(body.adapter ?? body.model, body.messages ?? body.prompt, body.max_tokens);
        const offset = body.resume_offset ?? 0;
        if (offset > 0 && body.resume_text !== tokens.slice(0, offset).join("")) {
            engine.violations.push(`${attemptId} resumed with the text of another answer`);
        }
        const id = consumeFault("crossNext") ? "another-request.1" : attemptId;
        const truncateAt = consumeFault("truncateNext") ? offset + Math.ceil((tokens.length - offset) / 2) : Infinity;
        res.writeHead(200, { "content-type": "text/event-stream", "x-request-id": attemptId });
        for (let index = offset; index < tokens.length && !res.destroyed; index++) {
            if (index >= truncateAt) {
                res.destroy();
                return;
            }
            const content = tokens[index];
            const choice = isChat ? { index: 0, delta: { content } } : { index: 0, text: content };
            res.write(`data: ${JSON.stringify({ id, object: "chat.completion.chunk", choices: [choice] })}\n\n`);
            if (setup.tokenMs > 0) {
                await new Promise(resolve => setTimeout(resolve, setup.tokenMs));
            }
        }
        const usage = { completion_tokens: tokens.length };
        res.end(`data: ${JSON.stringify({ id, choices: [{ index: 0, delta: {}, finish_reason: "stop" }], usage })}\n\ndata: [DONE]\n\n`);
    };
    const generate = async (raw: unknown, attemptId: string, res: ServerResponse, isChat: boolean): Promise<unknown> => {
        received++;
        const body = raw as GenerationRequest;
        const artifacts = [body.model, ...(body.adapter === undefined ? [] : [body.adapter])];
        if (consumeFault("resetNext")) {
            res.destroy();
            return alreadyAnswered;
        }
        if (faults.leaving || consumeFault("refuseNext")) {
            return new StatusResponse(503, { error: "leaving or overloaded" });
        }
        if (!engine.hasResident(...artifacts)) {
            return new StatusResponse(404, { error: "not resident" });
        }
        engine.adjustActiveRequests(artifacts, 1);
        try {
            await new Promise(resolve => setTimeout(resolve, setup.firstTokenMs));
            await stream(body, attemptId, res, isChat);
        }
        finally {
            engine.adjustActiveRequests(artifacts, -1);
        }
        return alreadyAnswered;
    };
    return serveJson(port, {
        "POST /v1/chat/completions": ({ body, req, res }) => generate(body, String(req.headers["x-request-id"]), res, true),
        "POST /v1/completions": ({ body, req, res }) => generate(body, String(req.headers["x-request-id"]), res, false),
        "GET /engine/report": () => {
            const report = faults.reportLagMs > 0 ? delayedReport : engine.report();
            if (faults.reportLagMs > 0) {
                setTimeout(() => delayedReport = engine.report(), faults.reportLagMs);
            }
            return report;
        },
        "POST /engine/orders": async ({ body, res }) => {
            if (consumeFault("dropOrders")) {
                res.destroy();
                return alreadyAnswered;
            }
            await new Promise(resolve => setTimeout(resolve, faults.orderDelayMs));
            return new StatusResponse(statusByAnswer[engine.acceptOrder(body as EngineOrder)]);
        },
        "POST /control": ({ body }) => {
            Object.assign(faults, body as Partial<EngineFaults>);
            engine.leaving = faults.leaving;
            if (faults.restart) {
                faults.restart = false;
                engine.restart();
            }
            return faults;
        },
        "GET /witness": () => ({ violations: engine.violations, loads: engine.loads, unloads: engine.unloads, active: engine.active, received }),
    });
};
