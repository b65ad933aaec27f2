// Plays a busy service that turns brittle, in front of many nodes in this process, and prints what callers got and how often upstreams fell over.
import { monitorEventLoopDelay } from "node:perf_hooks";
import { parseArgs } from "node:util";
import { sleep } from "../src/utils/time";
import { judgeBrittleTime } from "./fakes/brittleJudge";
import { BrittleNodes } from "./fakes/brittleNodes";
import { describeCalls } from "./fakes/steadyCallers";

const contactMs = 3_000;
const settleMs = 5_000;
const calmMs = 3_000;
const brittleMs = 12_000;
const afterMs = 5_000;

const { values } = parseArgs({
    options: {
        nodes: { type: "string", default: "30" },
        upstreams: { type: "string", default: "10" },
        load: { type: "string", default: "1.3" },
        allowed: { type: "string", default: "4" },
        work: { type: "string", default: "200" },
        queue: { type: "string", default: "12" },
        seed: { type: "string", default: "1" },
    },
});

const upstreamOptions = { slots: 4, queue: Number(values.queue), brittleQueue: 2, meanWorkMs: Number(values.work), downMs: 3_000, contactMs };
const fleet = await BrittleNodes.create(Number(values.nodes), Number(values.upstreams), upstreamOptions);
const stopped = new AbortController();
await sleep(settleMs);
const running = fleet.runCallers(Number(values.load) * fleet.capacityPerS, Number(values.seed), stopped.signal);
const delay = monitorEventLoopDelay();
delay.enable();
await sleep(calmMs);
const time = await fleet.beBrittle(Number(values.allowed), brittleMs);
await sleep(afterMs);
delay.disable();
stopped.abort();
const calls = await running;
const violations = judgeBrittleTime(time, fleet.falls, () => true);
const peaks = fleet.upstreams.map(({ peakRejections }) => peakRejections).sort((a, b) => b - a);
console.log(
    `${values.nodes} nodes, ${values.upstreams} upstreams, ${values.load} times ${fleet.capacityPerS} requests a second, ${values.allowed} rejections allowed`,
);
console.log(`before:   ${describeCalls(calls.filter(({ sentAt }) => sentAt < time.from))}`);
console.log(`told:     ${describeCalls(calls.filter(({ sentAt }) => sentAt >= time.from && sentAt < time.from + contactMs))}`);
console.log(`in force: ${describeCalls(calls.filter(({ sentAt }) => sentAt >= time.from + contactMs && sentAt < time.to))}`);
console.log(`after:    ${describeCalls(calls.filter(({ sentAt }) => sentAt >= time.to))}`);
console.log(
    `fallen ${fleet.falls.length}; rejections in a second, at most: ${peaks.join()}; turns of the event loop: ${
        Math.round(delay.percentile(99) / 1e6)
    } ms in 99 of 100`,
);
violations.forEach(violation => console.log(`LIMIT: ${violation.slice(0, 120)}`));
fleet.close();
process.exitCode = violations.length > 0 ? 1 : 0;
setTimeout(() => process.exit(), 1_000).unref();
