import { initTRPC, TRPCError } from "@trpc/server";
import { timingSafeEqual } from "node:crypto";
import { z } from "zod";
import { isZoneOrigin } from "../core/digestStore";
import type { NodeContext } from "../node/context";
import type { DigestMessage, DigestPart } from "../types/digest";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { sha256Hex } from "../utils/hash";

/** Header with the secret that the nodes share. */
export const peerSecretHeader = "jackdawtrail-peer-secret";

interface PeerContext {
    readonly secret: string | undefined;
}

const t = initTRPC.context<PeerContext>().create();

const digestParts = z.array(z.object({ origin: z.string(), name: z.string(), version: z.number(), value: z.unknown() }));
const digestSummary = z.record(z.string(), z.number());

/** Compares two secrets in constant time. */
export const isSameSecret = (actual: string | undefined, expected: string): boolean =>
    actual !== undefined && timingSafeEqual(Buffer.from(sha256Hex(actual)), Buffer.from(sha256Hex(expected)));

/** Creates the tRPC router of the API between standalone nodes. */
export const createStandalonePeerRouter = (node: NodeContext) => {
    const authenticatedProcedure = t.procedure.use(({ ctx, next }) => {
        if (!isSameSecret(ctx.secret, node.cfg.peerSecret)) {
            emit(EventId.PeerRefused);
            throw new TRPCError({ code: "UNAUTHORIZED", message: "the peer secret is wrong" });
        }
        return next();
    });
    return t.router({
        /** Answers a summary with this node's own summary and the parts that the sender is missing. */
        exchange: authenticatedProcedure.input(z.object({ summary: digestSummary, isNear: z.boolean() })).mutation(({ input }): DigestMessage =>
            node.digests.answer(input.summary, input.isNear ? undefined : isZoneOrigin)
        ),
        /** Merges parts that the sender found missing on this node. */
        push: authenticatedProcedure.input(digestParts).mutation(({ input }) => node.digests.merge(input as DigestPart[])),
        /** Returns the changes after a sequence; undefined if they are no longer kept. */
        changesSince: authenticatedProcedure.input(z.number().int()).query(({ input }) => node.config.changesSince(input)),
        /** Returns the complete current configuration. */
        snapshot: authenticatedProcedure.query(() => node.config.snapshot()),
    });
};

/** Type of the router, for typed clients. */
export type StandalonePeerRouter = ReturnType<typeof createStandalonePeerRouter>;
