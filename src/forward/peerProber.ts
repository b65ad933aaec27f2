import { Agent } from "undici";
import { toFailure } from "../core/failures";
import type { OwnAnswerMemory } from "../core/ownAnswerMemory";
import { EventId } from "../types/eventId";
import { OwnAnswerKind } from "../types/ownAnswerKind";
import { createBoundedFetch } from "../utils/boundedFetch";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import { createPunctualConnector } from "../utils/punctualConnector";
import { contactQuestion, relayHeader } from "./relayHeaders";

const connectTimeoutMs = 300;
/** Peers normally answer within a few milliseconds. */
const timeoutMs = 500;
const maxAnswerBytes = 65_536;
/** Time for which the result of a probe is used for other requests through the same peer. */
const resultLifetimeMs = 300;

/** Asks peers whether they are alive. */
export class PeerProber {
    private readonly probes = new Map<string, Promise<boolean>>();
    private readonly fetch: typeof globalThis.fetch;

    private constructor(answers: OwnAnswerMemory) {
        const dispatcher = new Agent({ connect: createPunctualConnector({ timeout: connectTimeoutMs }), pipelining: 1 });
        this.fetch = createBoundedFetch(dispatcher, { maxBytes: maxAnswerBytes, timeoutMs }, () => answers.open(OwnAnswerKind.Peer));
    }

    static create(answers: OwnAnswerMemory): PeerProber {
        return new PeerProber(answers);
    }

    /** Whether a peer answers, whatever that is; requests that ask at about the same time share one probe. */
    isAlive(address: string): Promise<boolean> {
        return getOrCreate(
            this.probes,
            address,
            () => this.probe(address).finally(() => setTimeout(() => this.probes.delete(address), resultLifetimeMs).unref()),
        );
    }

    /** Whether a peer says that it reaches upstreams over its own links. */
    async reachesUpstreams(address: string): Promise<boolean> {
        try {
            return (await this.fetch(`http://${address}/`, { headers: { [relayHeader]: contactQuestion } })).ok;
        }
        catch (err) {
            emit(EventId.PeerExchangeFailed, { peer: address, detail: toFailure(err).detail });
            return false;
        }
    }

    private async probe(address: string): Promise<boolean> {
        try {
            await this.fetch(`http://${address}/`, {});
            return true;
        }
        catch (err) {
            emit(EventId.PeerExchangeFailed, { peer: address, detail: toFailure(err).detail });
            return false;
        }
    }
}
