import { sleep } from "../../src/utils/time";
import { callGateway } from "./gatewayHarness";
import { answerOf, startScriptedUpstream } from "./scriptedUpstream";

/** Time and status of one small request. */
export interface SmallAnswer {
    readonly status: number | undefined;
    readonly afterMs: number;
}

/** Sends the address of an upstream, then calls it through a node, whose address it receives, until it receives another message; sends the answers. */
const pauseMs = 50;

let isEnding = false;
process.once("disconnect", () => process.exit());
const upstream = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
const front = new Promise<string>(resolve => process.once("message", message => resolve(message as string)));
process.send!(upstream.address);
const address = await front;
process.once("message", () => isEnding = true);
const answers: SmallAnswer[] = [];
while (!isEnding) {
    const { status, afterMs } = await callGateway(address, { path: "/small/x", body: "small" });
    answers.push({ status, afterMs });
    await sleep(pauseMs);
}
process.send!(answers);
