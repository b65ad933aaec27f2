import type { InvariantChecker } from "./invariantChecker";
import { graceMs } from "./soakFaults";
import type { SoakNode } from "./soakNode";

/** Bounds of rule LOST. */
const lossSlackMs = 200;
const stopMarginMs = 1_000;
const applyMs = 2_000;

/** A request that was sent whole and whose connection ended without a complete answer. Times are on the monotonic clock. */
export interface CutRequest {
    readonly id: string;
    readonly node: SoakNode;
    readonly startedAt: number;
    readonly sentAt: number;
    readonly endedAt: number;
    readonly deadlineMs: number;
}

/** Checks that nodes lose no request around planned work, as its caller sees it. */
export class LossChecker {
    private readonly cuts: CutRequest[] = [];
    sentCount = 0;

    private constructor() {}

    static create(): LossChecker {
        return new LossChecker();
    }

    /** Records a cut unless a fault that was injected at the node or its links explains it, or the request's time was over. */
    onCut(cut: CutRequest): void {
        if (cut.node.impairedUntil <= cut.sentAt && cut.endedAt - cut.startedAt < cut.deadlineMs) {
            this.cuts.push(cut);
        }
    }

    /** Losses; called at the end, when it is known which upstreams broke off. */
    violations(checker: InvariantChecker): readonly string[] {
        return this.cuts.filter(({ id, sentAt, endedAt }) => !checker.wasBrokenOff(id) && (checker.hasRun(id) || endedAt - sentAt > lossSlackMs))
            .flatMap(cut => this.describe(cut, checker));
    }

    private describe({ id, node, sentAt, endedAt }: CutRequest, checker: InvariantChecker): readonly string[] {
        const stop = node.signalsAt.SIGTERM.findLast(at => at <= endedAt && endedAt <= at + graceMs + stopMarginMs);
        const reload = node.signalsAt.SIGHUP.findLast(at => at <= endedAt && sentAt <= at + applyMs);
        const [signal, at] = stop === undefined ? ["SIGHUP", reload] : ["SIGTERM", stop];
        const fate = checker.hasRun(id) ? "passed on" : "not passed on";
        return at === undefined ? [] : [
            `LOST: ${id} (${fate}) at ${node.name} ended ${Math.round(endedAt - at)} ms after ${signal}, ${
                Math.round(endedAt - sentAt)
            } ms after its last byte`,
        ];
    }
}
