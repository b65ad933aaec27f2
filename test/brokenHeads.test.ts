import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { End, Stop } from "./fakes/brokenAnswers";
import { ends, eventOf, stops } from "./fakes/brokenAnswers";
import type { CallerResult } from "./fakes/gatewayHarness";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const timeoutMs = 8_000;
const maxAnswerMs = 4_000;
/** Enough to make a runner count as sound again. */
const soundAnswers = 20;

const soundBody = (id: string): string => eventOf(1, id) + eventOf(2, id);
/** Answers the rest of a stream that goes on after an event. */
const answerSoundly: Script = (socket, { id, head }) => {
    const lastEvent = Number(/^last-event-id: (\d+)$/im.exec(head)?.[1] ?? 0);
    const events = [1, 2].filter(number => number > lastEvent).map(number => eventOf(number, id));
    socket.write(answerOf(id, events.join(""), { headers: "Content-Type: text/event-stream\r\n" }));
};

interface Setup {
    readonly kind: RouteKind;
    readonly maxAttempts: number;
    readonly hasSecond: boolean;
    readonly isKept: boolean;
}

const setups: readonly Setup[] = [RouteKind.Idempotent, RouteKind.NonIdempotent, RouteKind.Streaming].flatMap(kind =>
    [[1, false], [2, false], [2, true]].flatMap(([maxAttempts, hasSecond]) =>
        [false, true].map(isKept => ({ kind, maxAttempts: Number(maxAttempts), hasSecond: hasSecond === true, isKept }))
    )
);

/** What is wrong with the answer to a request whose first answer stopped; undefined if nothing is. */
const faultOf = (
    { kind, maxAttempts, hasSecond }: Setup,
    stop: Stop,
    end: End,
    id: string,
    result: CallerResult,
    [firstRuns, secondRuns = 0]: readonly number[],
): string | undefined => {
    const runs = firstRuns! + secondRuns;
    if (runs === 0) {
        return "it was not sent";
    }
    if (runs > (kind === RouteKind.NonIdempotent ? 1 : maxAttempts)) {
        return `it ran ${runs} times`;
    }
    if (result.afterMs > maxAnswerMs) {
        return `it took ${Math.round(result.afterMs)} ms`;
    }
    const isWhole = result.status === 200 && result.isComplete;
    if (!isWhole) {
        const mustBeWhole = hasSecond && kind !== RouteKind.NonIdempotent;
        return mustBeWhole ? `it was not answered by the second runner: ${result.status}` : undefined;
    }
    const allowed = [
        ...(secondRuns > 0 ? [soundBody(id)] : []),
        ...(stop.wholeBody && !end.isReset ? [stop.wholeBody(id)] : []),
    ];
    return allowed.includes(result.body) ? undefined : `a success with the body ${JSON.stringify(result.body)}`;
};

describe("a runner that stops in the middle of its answer", { concurrency: true }, () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const setup of setups) {
        const { kind, maxAttempts, hasSecond, isKept } = setup;
        const title = `${kind} route, ${maxAttempts} attempts, ${hasSecond ? "a sound second runner" : "no other runner"}, ${
            isKept ? "kept" : "new"
        } connection`;
        it(`gives no caller a success that is not whole: ${title}`, async () => {
            const running = new Map<string, (socket: Parameters<Script>[0], id: string) => void>();
            const breakOff: Script = (socket, req, upstream) => {
                const broken = running.get(req.id);
                if (broken) {
                    broken(socket, req.id);
                }
                else {
                    answerSoundly(socket, req, upstream);
                }
            };
            const upstreams = [await startScriptedUpstream(breakOff), ...(hasSecond ? [await startScriptedUpstream(answerSoundly)] : [])];
            const node = await startGateway(upstreams.map(({ address }) => address), {
                kind,
                maxAttempts,
                timeoutMs,
                isResumable: kind === RouteKind.Streaming && maxAttempts > 1,
            });
            const { gateway } = node;
            gateway.budgetOf("desk").withdraw = () => true;
            const faults: string[] = [];
            for (const [stopIndex, stop] of stops.entries()) {
                for (const [endIndex, end] of ends.entries()) {
                    const id = `cell-${stopIndex}-${endIndex}`;
                    running.set(id, (socket, request) => end.end(socket, stop.bytes(request)));
                    const [first, second] = [gateway.trafficOf("up-0"), gateway.trafficOf("up-1")];
                    first.onFirstByte(1);
                    second.onFirstByte(300);
                    [...Array(soundAnswers).keys()].forEach(() => first.onSuccess());
                    if (isKept) {
                        const { body } = await callGateway(node.address, { headers: { "attempt-id": `sound-${id}` } });
                        assert.equal(body, soundBody(`sound-${id}`));
                    }
                    const result = await callGateway(node.address, { headers: { "attempt-id": id, "deadline-ms": String(timeoutMs) } });
                    const runs = upstreams.map(({ received }) => received.filter(req => req.id === id).length);
                    const fault = faultOf(setup, stop, end, id, result, runs);
                    if (fault !== undefined) {
                        faults.push(`${stop.name}, ended by ${end.name}: ${fault}`);
                    }
                }
            }
            node.close();
            upstreams.forEach(upstream => upstream.close());
            assert.deepEqual(faults, []);
        });
    }
});
