import { Command, Option, UsageError } from "clipanion";
import { request } from "undici";
import { errorCodeOf } from "../utils/transport";
import { ExitCode } from "./exitCode";

const timeoutMs = 70_000;

/** Answer of a node to an operator. */
export interface OperatorAnswer {
    readonly status: number;
    readonly value: unknown;
}

/** A command that asks a node as an operator. */
export abstract class OperatorCommand extends Command {
    readonly url = Option.String("--url", { env: "JACKDAWTRAIL_URL", description: "URL of any node" });
    readonly token = Option.String("--operator-token", { env: "JACKDAWTRAIL_OPERATOR_TOKEN", description: "the operators' token" });
    readonly json = Option.Boolean("--json", false, { description: "print JSON" });

    /** Asks the node. */
    protected async callNode(
        method: "GET" | "POST" | "PUT" | "DELETE",
        path: string,
        body?: unknown,
        headers: Readonly<Record<string, string>> = {},
    ): Promise<OperatorAnswer> {
        if (this.url === undefined || this.token === undefined) {
            throw new UsageError("give --url (JACKDAWTRAIL_URL) and --operator-token (JACKDAWTRAIL_OPERATOR_TOKEN)");
        }
        const res = await request(`${this.url.replace(/\/+$/, "")}${path}`, {
            method,
            headers: { ...headers, "authorization": `Bearer ${this.token}`, "content-type": "application/json" },
            body: body === undefined ? undefined : JSON.stringify(body),
            headersTimeout: timeoutMs,
        });
        const text = await res.body.text();
        return { status: res.statusCode, value: text === "" ? undefined : JSON.parse(text) };
    }

    /** Prints an answer, in plain words where they are given, and gives the exit code. */
    protected print({ status, value }: OperatorAnswer, plain: (value: never) => string): ExitCode {
        const isOk = status < 400;
        if (this.json) {
            this.context.stdout.write(`${JSON.stringify(value)}\n`);
        }
        else if (isOk) {
            this.context.stdout.write(`${plain(value as never)}\n`);
        }
        else {
            const { title, detail, verdict, requestId } = value as { title?: string; detail?: string; verdict?: string; requestId?: string; };
            this.context.stderr.write(
                `${title ?? "failed"}: ${detail ?? ""} (status ${status}, verdict ${verdict ?? "none"}, request ${requestId ?? "none"})\n`,
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
