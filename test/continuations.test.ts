import { after, before, describe } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { ForwardingCase } from "./fakes/forwardingCase";
import { testForwarding } from "./fakes/forwardingCase";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, chunkOf, lastChunk, streamHeadOf } from "./fakes/scriptedUpstream";
import {
    answer,
    answerUnsigned,
    answerWithError,
    brokenStream,
    completeStream,
    refuse,
    resumedStream,
    sendInvalidBytes,
    sseEvents,
    streamClosedBeforeFirstEvent,
} from "./fakes/upstreamScripts";

const streamOf = (body: string): Script => (socket, { id }) => void socket.write(streamHeadOf(id) + (body === "" ? "" : chunkOf(body)) + lastChunk);

const comment = ": keep-alive\n\n";
const pieceGapMs = 20;
/** A stream whose first bytes, up to the end of a comment, arrive by themselves. */
const streamAfterComment = (body: string): Script => (socket, { id }) => {
    socket.write(streamHeadOf(id) + chunkOf(comment));
    setTimeout(() => socket.write(chunkOf(body) + lastChunk), pieceGapMs);
};

/** An answer to the request that resumes a stream after its second event. */
interface Continuation {
    readonly name: string;
    readonly script: Script;
    /** What the caller has received in the end. */
    readonly body: string;
    readonly isComplete: boolean;
}

const begun = sseEvents(1, 2);

const continuations: readonly Continuation[] = [
    { name: "events that follow", script: resumedStream, body: sseEvents(1, 4), isComplete: true },
    { name: "events after a comment", script: streamOf(comment + sseEvents(3, 4)), body: begun + comment + sseEvents(3, 4), isComplete: true },
    { name: "events some time after a comment", script: streamAfterComment(sseEvents(3, 4)), body: begun + comment + sseEvents(3, 4), isComplete: true },
    { name: "text after a comment", script: streamOf(`${comment}sorry\n\n`), body: begun, isComplete: false },
    { name: "text some time after a comment", script: streamAfterComment("sorry\n\n"), body: begun + comment, isComplete: false },
    { name: "all events some time after a comment", script: streamAfterComment(sseEvents(1, 4)), body: begun + comment, isComplete: false },
    { name: "the end of a stream without further events", script: streamOf(""), body: begun, isComplete: true },
    { name: "a success in plain text", script: answer, body: begun, isComplete: false },
    { name: "an empty success of no type", script: (socket, { id }) => void socket.write(answerOf(id, "")), body: begun, isComplete: false },
    { name: "all events from the first one", script: completeStream, body: begun, isComplete: false },
    { name: "the last event once more", script: streamOf(sseEvents(2, 4)), body: begun, isComplete: false },
    { name: "the head of an answer in its body", script: streamOf("HTTP/1.1 500 No\r\nServer: x\r\n\r\n"), body: begun, isComplete: false },
    { name: "text in its body", script: streamOf("sorry\n\n"), body: begun, isComplete: false },
    { name: "an event twice", script: streamOf(sseEvents(3, 4) + sseEvents(4, 4)), body: begun, isComplete: false },
    { name: "an error", script: answerWithError, body: begun, isComplete: false },
    {
        name: "an error in the form of events",
        script: (socket, { id }) => void socket.write(answerOf(id, sseEvents(3, 4), { status: 500, headers: "Content-Type: text/event-stream\r\n" })),
        body: begun,
        isComplete: false,
    },
    { name: "a refusal", script: refuse, body: begun, isComplete: false },
    { name: "an answer without a seal", script: answerUnsigned, body: begun, isComplete: false },
    { name: "bytes that are no answer", script: sendInvalidBytes, body: begun, isComplete: false },
    { name: "a stream that ends with its connection before its first event", script: streamClosedBeforeFirstEvent, body: begun, isComplete: false },
];

const toCase = ({ name, script, body, isComplete }: Continuation): ForwardingCase => ({
    name: `${isComplete ? "goes on with" : "is cut instead of going on with"} ${name}`,
    kind: RouteKind.Streaming,
    isResumable: true,
    maxAttempts: 2,
    scripts: [brokenStream, script],
    status: 200,
    body,
    isComplete,
    received: 2,
});

const later: ForwardingCase = {
    name: "goes on at a third runner after an answer that is no continuation",
    kind: RouteKind.Streaming,
    isResumable: true,
    maxAttempts: 3,
    scripts: [brokenStream, completeStream, resumedStream],
    status: 200,
    body: sseEvents(1, 4),
    received: 3,
};

describe("a stream that has begun", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    [...continuations.map(toCase), later].forEach(testForwarding);
});
