import type { NodeContext } from "../node/context";
import type { EngineChunk } from "../types/engine";
import { StreamEnd } from "../types/engine";
import { EventId } from "../types/eventId";
import type { Failure } from "../types/failure";
import { FailureKind } from "../types/failureKind";
import type { RunnerView } from "../types/runnerView";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { assertInvariant } from "../utils/invariants";
import { getOrCreate } from "../utils/maps";
import { sleep } from "../utils/time";
import type { RunnerRequirements } from "./chooseRunner";
import { ConcurrencyLimiter } from "./concurrencyLimiter";
import { decide, DecisionKind } from "./decisions";
import { FailureError, mayRetry, toFailure } from "./failures";
import { PrefixHints } from "./prefixHints";
import type { Priority } from "./recordSchemas";
import { RetryBudget } from "./retryBudget";

/** A caller's generation request, with the names of its model and adapter resolved. */
export interface Generation {
    readonly requestId: string;
    readonly caller: string;
    readonly priority: Priority;
    readonly path: string;
    readonly body: Readonly<Record<string, unknown>>;
    readonly deployment: string;
    readonly model: string;
    readonly adapter: string | undefined;
    readonly prompt: string;
    /** On the monotonic clock. */
    readonly deadlineAt: number;
    readonly signal: AbortSignal;
}

/** Receives the chunks of an answer in order. */
export interface AnswerSink {
    write(chunk: EngineChunk): Promise<void> | void;
}

const maxAttempts = 5;
/** Base of the jittered delay before the second attempt; it doubles with each further one. */
const retryDelayMs = 25;
const spentBudgetRetryAfterMs = 1_000;

/** State of a generation over all of its attempts. */
interface Progress {
    /** Chunks with text that were passed to the caller. */
    delivered: number;
    text: string;
    attempt: number;
    /** Whether any of the attempts may have run. */
    verdict: Verdict;
    versions: Versions;
    readonly failedRunners: Set<string>;
}

/** Versions of the model and adapter that serve a request. */
type Versions = Pick<Generation, "model" | "adapter">;

const artifactsOf = ({ model, adapter }: Versions): readonly string[] => adapter === undefined ? [model] : [model, adapter];

/** Chooses the versions to serve: the previous one while a new one is not resident yet. An answer that has begun stays with its version. */
const chooseVersions = (node: NodeContext, { model, adapter }: Versions): Versions => ({
    model: node.fleet.servingVersion(model),
    adapter: adapter === undefined ? undefined : node.fleet.servingVersion(adapter),
});

const assignRunner = (node: NodeContext, generation: Generation, progress: Progress, prefixKey: string): Promise<RunnerView> => {
    const tryAssign = (): RunnerView | undefined => {
        if (progress.delivered === 0) {
            progress.versions = chooseVersions(node, generation);
        }
        const artifacts = artifactsOf(progress.versions);
        const requirements: RunnerRequirements = {
            deployment: generation.deployment,
            artifacts,
            availabilityZone: node.cfg.availabilityZone,
            avoid: [...progress.failedRunners],
            prefixHints: node.hints.find(prefixKey),
        };
        const candidates = node.fleet.residentRunners(artifacts.at(-1)!);
        const traffic = Object.fromEntries(candidates.map(({ vm }) => [vm.id, getOrCreate(node.limits, vm.id, ConcurrencyLimiter.create)]));
        const id = decide(DecisionKind.Route, {
            runners: candidates,
            need: requirements,
            traffic,
            draws: [node.random(), node.random(), node.random(), node.random()],
        });
        const runner = candidates.find(({ vm }) => vm.id === id);
        if (runner) {
            getOrCreate(node.limits, runner.vm.id, ConcurrencyLimiter.create).start();
        }
        return runner;
    };
    return node.queue.place(generation.caller, generation.priority, generation.deadlineAt, tryAssign, generation.signal);
};

/** Runs one attempt on the assigned runner; returns the failure that ended it, if any. */
const runAttempt = async (
    node: NodeContext,
    generation: Generation,
    progress: Progress,
    runner: RunnerView,
    sink: AnswerSink,
): Promise<Failure | undefined> => {
    const limiter = getOrCreate(node.limits, runner.vm.id, ConcurrencyLimiter.create);
    const attemptId = `${generation.requestId}.${progress.attempt}`;
    const startedAt = performance.now();
    let hasAnswered = false;
    try {
        const end = await node.engines(runner.vm.url).generate({
            attemptId,
            path: generation.path,
            body: { ...generation.body, ...progress.versions },
            resumeOffset: progress.delivered,
            resumeText: progress.text,
            timeoutMs: Math.max(1, generation.deadlineAt - startedAt),
            signal: generation.signal,
        }, async chunk => {
            assertInvariant(
                chunk.data.id === attemptId,
                EventId.InvariantAnswerOwner,
                () => `received a chunk of ${String(chunk.data.id)} instead of ${attemptId}`,
            );
            if (!hasAnswered) {
                hasAnswered = true;
                limiter.onFirstToken(performance.now() - startedAt);
            }
            if (chunk.text !== "") {
                progress.delivered++;
                progress.text += chunk.text;
            }
            await sink.write(chunk);
        });
        return failureOfEnd(end, generation.signal);
    }
    catch (err) {
        const failure = toFailure(err);
        if (failure.kind === FailureKind.UpstreamLost || failure.kind === FailureKind.UpstreamRefused) {
            limiter.onOverload();
        }
        return failure;
    }
    finally {
        limiter.end();
        node.queue.poll();
    }
};

const failureKindOfEnd: Readonly<Record<StreamEnd, FailureKind | undefined>> = {
    [StreamEnd.Complete]: undefined,
    [StreamEnd.Truncated]: FailureKind.AnswerTruncated,
    [StreamEnd.Mismatch]: FailureKind.AnswerMismatch,
};

const failureOfEnd = (end: StreamEnd, signal: AbortSignal): Failure | undefined => {
    const kind = signal.aborted && end !== StreamEnd.Complete ? FailureKind.CallerGone : failureKindOfEnd[end];
    return kind && { kind, verdict: Verdict.MayHaveRun, detail: "the stream ended early" };
};

/** Ends a generation with the common verdict of all its attempts. */
const endWithFailure = (failure: Failure, progress: Progress): never => {
    const { verdict, delivered } = progress;
    assertInvariant(
        verdict !== Verdict.NotRun || delivered === 0,
        EventId.InvariantVerdict,
        () => `${delivered} chunks were delivered of a generation with the verdict not-run`,
    );
    throw FailureError.create({ ...failure, verdict });
};

/** Ends the generation unless another attempt may follow the failed one. Generations have no lasting effect, so they may be repeated. */
const endUnlessRetryable = (node: NodeContext, generation: Generation, progress: Progress, failure: Failure): void => {
    if (failure.kind === FailureKind.CallerGone || failure.kind === FailureKind.Internal || !mayRetry(failure.verdict, true)) {
        endWithFailure(failure, progress);
    }
    if (progress.attempt >= maxAttempts) {
        endWithFailure(failure, progress);
    }
    if (performance.now() >= generation.deadlineAt) {
        endWithFailure({ ...failure, kind: FailureKind.DeadlineExpired }, progress);
    }
    if (!getOrCreate(node.budgets, generation.model, RetryBudget.create).withdraw()) {
        endWithFailure({ ...failure, kind: FailureKind.RetryBudgetSpent, retryAfterMs: spentBudgetRetryAfterMs }, progress);
    }
};

/** Records a failed attempt in the verdict and the log. */
const recordFailure = (progress: Progress, failure: Failure, request: string, runner: string): void => {
    if (failure.verdict !== Verdict.NotRun) {
        progress.verdict = Verdict.MayHaveRun;
    }
    emit(EventId.AttemptFailed, { request, attempt: progress.attempt, runner, kind: failure.kind, verdict: failure.verdict });
    if (failure.kind === FailureKind.AnswerMismatch) {
        emit(EventId.AnswerDropped, { request, runner });
    }
};

/** Answers a generation: assigns it to a runner, streams the answer, and resumes after the last chunk on another runner when an attempt fails. */
export const generateAnswer = async (node: NodeContext, generation: Generation, sink: AnswerSink): Promise<void> => {
    artifactsOf(generation).forEach(artifact => node.demand.count(artifact));
    getOrCreate(node.budgets, generation.model, RetryBudget.create).deposit();
    const prefixKey = PrefixHints.keyOf(generation.adapter ?? generation.model, generation.prompt);
    const { requestId, model, adapter } = generation;
    const progress: Progress = { delivered: 0, text: "", attempt: 0, verdict: Verdict.NotRun, versions: { model, adapter }, failedRunners: new Set() };
    for (;;) {
        progress.attempt++;
        // If no runner can take this attempt, the failure still carries the verdict of the earlier attempts.
        const runner = await assignRunner(node, generation, progress, prefixKey).catch((err: unknown) => endWithFailure(toFailure(err), progress));
        const failure = await runAttempt(node, generation, progress, runner, sink);
        if (!failure) {
            node.hints.record(prefixKey, runner.vm.id);
            return;
        }
        recordFailure(progress, failure, requestId, runner.vm.id);
        endUnlessRetryable(node, generation, progress, failure);
        if (progress.delivered > 0) {
            emit(EventId.StreamResumed, { request: requestId, delivered: progress.delivered });
        }
        progress.failedRunners.add(runner.vm.id);
        await sleep(retryDelayMs * 2 ** (progress.attempt - 1) * (0.5 + node.random()), generation.signal);
    }
};
