import type { TRPCClient } from "@trpc/client";
import { createTRPCClient, httpLink } from "@trpc/client";
import { Agent } from "undici";
import { OwnAnswerMemory } from "../core/ownAnswerMemory";
import { OwnAnswerKind } from "../types/ownAnswerKind";
import type { NodeReport } from "../types/placement";
import type { FactReport } from "../types/sharedFacts";
import { createBoundedFetch } from "../utils/boundedFetch";
import { getOrCreate } from "../utils/maps";
import { createPunctualConnector } from "../utils/punctualConnector";
import type { PeerServerRouter } from "./peerServer";

/** Peers normally answer within a few milliseconds. */
const peerTimeoutMs = 700;
const connectTimeoutMs = 300;

/** Clients of peers by address; they share one pool of connections. */
export class PeerClients {
    private readonly clients = new Map<string, TRPCClient<PeerServerRouter>>();
    private readonly fetch: typeof globalThis.fetch;

    private constructor(maxAnswerBytes: number, answers: OwnAnswerMemory) {
        const dispatcher = new Agent({ connect: createPunctualConnector({ timeout: connectTimeoutMs }), keepAliveTimeout: 10_000, pipelining: 1 });
        this.fetch = createBoundedFetch(dispatcher, { maxBytes: maxAnswerBytes, timeoutMs: peerTimeoutMs }, () => answers.open(OwnAnswerKind.Peer));
    }

    static create(maxAnswerBytes: number, answers = OwnAnswerMemory.create(() => maxAnswerBytes)): PeerClients {
        return new PeerClients(maxAnswerBytes, answers);
    }

    /** The client of the peer at an address. */
    get(address: string): TRPCClient<PeerServerRouter> {
        return getOrCreate(
            this.clients,
            address,
            () => createTRPCClient<PeerServerRouter>({ links: [httpLink({ url: `http://${address}`, fetch: this.fetch })] }),
        );
    }
}

const toMutableFacts = ({ source, knownRevision, facts: { crashes, limits, leaving, brittle, speeds } }: FactReport) => ({
    source,
    knownRevision,
    facts: {
        crashes: crashes.map(({ id, ageMs, suspects, cleared }) => ({ id, ageMs, suspects: suspects.map(parts => [...parts]), cleared: [...cleared] })),
        limits: [...limits],
        leaving: leaving && [...leaving],
        brittle: brittle && [...brittle],
        speeds: speeds && [...speeds],
    },
});

/** Copies a report, as tRPC takes mutable input only. */
export const toMutableReport = (report: NodeReport) => ({
    ...report,
    members: [...report.members],
    work: [...report.work],
    facts: report.facts && toMutableFacts(report.facts),
    loads: Object.fromEntries(
        Object.entries(report.loads).map(([runner, [prefillMs, inFlight]]): [string, [number, number]] => [runner, [prefillMs, inFlight]]),
    ),
});
