import { Command, Option, UsageError } from "clipanion";
import { request } from "undici";
import { errorCodeOf } from "../utils/transport";
import { ExitCode } from "./exitCode";

/** Longer than a node waits for `--wait-ms` at most. */
const answerTimeoutMs = 70_000;

/** A node's answer to an operator's request. */
export interface OperatorAnswer {
    readonly status: number;
    readonly value: unknown;
}

/** A command that sends requests to a node with the operators' token. */
export abstract class OperatorCommand extends Command {
    readonly url = Option.String("--url", { env: "JACKDAWTRAIL_URL", description: "URL of any node" });
    readonly token = Option.String("--operator-token", { env: "JACKDAWTRAIL_OPERATOR_TOKEN", description: "the operators' token" });
    readonly json = Option.Boolean("--json", false, { description: "print JSON" });

    /** Sends a request to the node. */
    protected async callNode(
        method: "GET" | "POST" | "PUT" | "DELETE",
        path: string,
        body?: unknown,
        headers: Readonly<Record<string, string>> = {},
    ): Promise<OperatorAnswer> {
        if (this.url === undefined || this.token === undefined) {
            throw new UsageError("missing option: --url (JACKDAWTRAIL_URL) and --operator-token (JACKDAWTRAIL_OPERATOR_TOKEN) are required");
        }
        const res = await request(`${this.url.replace(/\/+$/, "")}${path}`, {
            method,
            headers: { ...headers, "authorization": `Bearer ${this.token}`, "content-type": "application/json" },
            body: body === undefined ? undefined : JSON.stringify(body),
            headersTimeout: answerTimeoutMs,
        });
        const text = await res.body.text();
        return { status: res.statusCode, value: text === "" ? undefined : JSON.parse(text) };
    }

    /** Prints an answer as JSON or, without `--json`, as text by the given formatter; failures go to standard error. Returns the exit code. */
    protected print({ status, value }: OperatorAnswer, formatValue: (value: never) => string): ExitCode {
        const isOk = status < 400;
        if (this.json) {
            this.context.stdout.write(`${JSON.stringify(value)}\n`);
        }
        else if (isOk) {
            this.context.stdout.write(`${formatValue(value as never)}\n`);
        }
        else {
            const { title, detail, verdict, requestId } = value as { title?: string; detail?: string; verdict?: string; requestId?: string; };
            this.context.stderr.write(
                `${title ?? "request failed"}: ${detail ?? ""} (status ${status}, verdict ${verdict ?? "none"}, request ${requestId ?? "none"})\n`,
            );
        }
        return isOk ? ExitCode.Ok : ExitCode.Failed;
    }

    override async catch(err: unknown): Promise<void> {
        if (errorCodeOf(err).startsWith("E") || errorCodeOf(err).startsWith("UND_")) {
            this.context.stderr.write(`${this.url} cannot be reached: ${errorCodeOf(err)}\n`);
            process.exitCode = ExitCode.Unreachable;
            return;
        }
        return super.catch(err);
    }
}
