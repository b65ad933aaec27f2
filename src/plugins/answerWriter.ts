import type { ServerResponse } from "node:http";
import type { AnswerSink } from "../core/generation";
import type { EngineChunk } from "../types/engine";
import type { HttpExchange } from "../types/httpExchange";
import { Verdict } from "../types/verdict";
import { requestIdHeader, sendJson, verdictHeader } from "../utils/problems";

const endMark = "data: [DONE]\n\n";

/** An answer on its way to the caller. */
export interface AnswerWriter extends AnswerSink {
    /** Says that the answer is whole. */
    end(): void;
}

const writeAll = (res: ServerResponse, text: string): Promise<void> | void => {
    if (res.write(text) || res.destroyed) {
        return;
    }
    // A slow caller slows the engine's stream down rather than filling memory.
    return new Promise(resolve => {
        const done = () => {
            res.off("drain", done);
            res.off("close", done);
            resolve();
        };
        res.on("drain", done);
        res.on("close", done);
    });
};

/** Passes the pieces on as server-sent events. */
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
    end: () => void res.end(endMark),
});

interface Choice {
    readonly finish_reason?: string;
}

const finishReasonOf = (chunk: EngineChunk): string | undefined => (chunk.data.choices as readonly Choice[] | undefined)?.[0]?.finish_reason ?? undefined;

/** Collects the pieces and answers once the whole is there. */
export const createBufferedAnswerWriter = (exchange: HttpExchange, model: string, isChat: boolean): AnswerWriter => {
    let text = "";
    let finishReason = "stop";
    let last: EngineChunk | undefined;
    return {
        write: chunk => {
            text += chunk.text;
            finishReason = finishReasonOf(chunk) ?? finishReason;
            last = chunk;
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
                usage: last?.data.usage,
            }, { [verdictHeader]: Verdict.Ran });
        },
    };
};
