import type { ServerResponse } from "node:http";
import type { AnswerSink } from "../core/generation";
import type { EngineChunk } from "../types/engine";
import type { HttpExchange } from "../types/httpExchange";
import { Verdict } from "../types/verdict";
import { requestIdHeader, sendJson, verdictHeader } from "../utils/problems";

const doneEvent = "data: [DONE]\n\n";

/** Writes a generated answer to the caller. */
export interface AnswerWriter extends AnswerSink {
    /** Completes the answer. */
    end(): void;
}

const writeAll = (res: ServerResponse, text: string): Promise<void> | void => {
    if (res.write(text) || res.destroyed) {
        return;
    }
    // Backpressure: a slow caller slows the engine's stream down, so that chunks don't accumulate in memory.
    return new Promise(resolve => {
        const resume = () => {
            res.off("drain", resume);
            res.off("close", resume);
            resolve();
        };
        res.on("drain", resume);
        res.on("close", resume);
    });
};

/** Creates a writer that sends each chunk as a server-sent event. */
export const createStreamingAnswerWriter = ({ res, requestId }: HttpExchange, model: string): AnswerWriter => ({
    write: chunk => {
        if (!res.headersSent) {
            res.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                [requestIdHeader]: requestId,
                [verdictHeader]: Verdict.Ran,
            });
        }
        return writeAll(res, `data: ${JSON.stringify({ ...chunk.data, id: requestId, model })}\n\n`);
    },
    end: () => void res.end(doneEvent),
});

interface Choice {
    readonly finish_reason?: string;
}

const finishReasonOf = (chunk: EngineChunk): string | undefined => (chunk.data.choices as readonly Choice[] | undefined)?.[0]?.finish_reason ?? undefined;

/** Creates a writer that buffers the chunks and sends one JSON body once the answer is complete. */
export const createBufferedAnswerWriter = (exchange: HttpExchange, model: string, isChat: boolean): AnswerWriter => {
    let text = "";
    let finishReason = "stop";
    let lastChunk: EngineChunk | undefined;
    return {
        write: chunk => {
            text += chunk.text;
            finishReason = finishReasonOf(chunk) ?? finishReason;
            lastChunk = chunk;
        },
        end: () => {
            const choice = isChat
                ? { index: 0, message: { role: "assistant", content: text }, finish_reason: finishReason }
                : { index: 0, text, finish_reason: finishReason };
            sendJson(exchange, 200, {
                id: exchange.requestId,
                object: isChat ? "chat.completion" : "text_completion",
                created: Math.floor(Date.now() / 1_000),
                model,
                choices: [choice],
                usage: lastChunk?.data.usage,
            }, { [verdictHeader]: Verdict.Ran });
        },
    };
};
