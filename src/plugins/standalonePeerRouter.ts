import { initTRPC, TRPCError } from "@trpc/server";
import { timingSafeEqual } from "node:crypto";
import { z } from "zod";
import { isZoneOrigin } from "../core/digestStore";
import type { NodeContext } from "../node/context";
import type { DigestMessage, DigestPart } from "../types/digest";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { sha256Hex } from "../utils/hash";

/** Header that carries the nodes' shared secret. */
export const peerSecretHeader = "jackdawtrail-peer-secret";

interface PeerContext {
    readonly secret: string | undefined;
}

const t = initTRPC.context<PeerContext>().create();

const digestParts = z.array(z.object({ origin: z.string(), name: z.string(), version: z.number(), value: z.unknown() }));
const digestSummary = z.record(z.string(), z.number());

/** Whether two secrets are the same, in a time that does not depend on where they differ. */
export const isSameSecret = (given: string | undefined, expected: string): boolean =>
    given !== undefined && timingSafeEqual(Buffer.from(sha256Hex(given)), Buffer.from(sha256Hex(expected)));

/** What nodes ask of each other. */
export const createStandalonePeerRouter = (node: NodeContext) => {
    const guarded = t.procedure.use(({ ctx, next }) => {
        if (!isSameSecret(ctx.secret, node.cfg.peerSecret)) {
            emit(EventId.PeerRefused);
            throw new TRPCError({ code: "UNAUTHORIZED", message: "the peer secret is wrong" });
        }
        return next();
    });
    return t.router({
        /** Answers a summary with what this node holds and the parts that the sender lacks. */
        exchange: guarded.input(z.object({ summary: digestSummary, isNear: z.boolean() })).mutation(({ input }): DigestMessage =>
            node.digests.answer(input.summary, input.isNear ? undefined : isZoneOrigin)
        ),
        /** Takes parts that the sender found lacking here. */
        push: guarded.input(digestParts).mutation(({ input }) => node.digests.merge(input as DigestPart[])),
        /** Changes after a sequence; undefined where they are no longer kept. */
        changesSince: guarded.input(z.number().int()).query(({ input }) => node.config.changesSince(input)),
        /** The whole configuration in force. */
        snapshot: guarded.query(() => node.config.snapshot()),
    });
};

/** Type of the router, for clients. */
export type StandalonePeerRouter = ReturnType<typeof createStandalonePeerRouter>;
