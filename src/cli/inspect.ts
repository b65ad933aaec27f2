import { Command, Option } from "clipanion";
import { EventId } from "../types/eventId";
import { ExitCode } from "./exitCode";
import { OperatorCommand } from "./operatorCommand";

interface Status {
    readonly node: string;
    readonly stage: string;
    readonly configSequence: number;
    readonly nodes: readonly { id: string; availabilityZone: string; configSequence: number; ageMs: number; }[];
    readonly runners: readonly {
        id: string;
        availabilityZone: string;
        leaving: boolean;
        report?: { residencies: readonly { artifact: string; state: string; }[]; };
    }[];
}

const describeStatus = ({ node, stage, configSequence, nodes, runners }: Status): string =>
    [
        `${node} is ${stage}, configuration ${configSequence}`,
        ...nodes.map(other => `node ${other.id} in ${other.availabilityZone}: configuration ${other.configSequence}, last digest ${other.ageMs} ms old`),
        ...runners.map(({ id, availabilityZone, leaving, report }) =>
            `runner ${id} in ${availabilityZone}${leaving ? ", leaving" : ""}: ${
                report ? report.residencies.map(({ artifact, state }) => `${artifact} ${state}`).join(", ") || "empty" : "no report"
            }`
        ),
    ].join("\n");

/** `jackdawtrail status`. */
export class StatusCommand extends OperatorCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({
        description: "Prints the state of the fleet as one node sees it.",
        examples: [["Print the status", "jackdawtrail status"]],
    });

    override async execute(): Promise<number> {
        return this.print(await this.callNode("GET", "/admin/status"), describeStatus);
    }
}

/** `jackdawtrail explain`. */
export class ExplainCommand extends OperatorCommand {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        description: "Explains the placement of a model or adapter, or why a request was refused.",
        examples: [["Explain a placement", "jackdawtrail explain model wiring-7b"], [
            "Explain a refusal, at the node that refused the request",
            "jackdawtrail explain request 5f0c...",
        ]],
    });
    readonly subject = Option.String({ name: "model|adapter|request" });
    readonly name = Option.String();

    override async execute(): Promise<number> {
        return this.print(
            await this.callNode("GET", `/admin/explain/${this.subject}/${encodeURIComponent(this.name)}`),
            value => JSON.stringify(value, undefined, 4),
        );
    }
}

/** `jackdawtrail events`. */
export class EventsCommand extends Command {
    static override paths = [["events"]];
    static override usage = Command.Usage({
        description: "Prints the catalogue of numbered log events.",
        examples: [["Print the catalogue", "jackdawtrail events"]],
    });
    readonly json = Option.Boolean("--json", false, { description: "print JSON" });

    override execute(): Promise<number> {
        const events = Object.entries(EventId).filter((entry): entry is [string, EventId] => typeof entry[1] === "number").map(([name, event]) => ({
            event,
            name,
        }));
        this.context.stdout.write(this.json ? `${JSON.stringify(events)}\n` : `${events.map(({ event, name }) => `${event} ${name}`).join("\n")}\n`);
        return Promise.resolve(ExitCode.Ok);
    }
}
