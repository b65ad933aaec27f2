import { initTRPC, TRPCError } from "@trpc/server";
import { timingSafeEqual } from "node:crypto";
import { z } from "zod";
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

const digestMessage = z.object({
    from: z.string(),
    availabilityZone: z.string(),
    summary: z.record(z.string(), z.number()),
    parts: z.array(z.object({ key: z.string(), version: z.number(), value: z.unknown() })),
});

/** Whether two secrets are the same, in a time that does not depend on where they differ. */
export const isSameSecret = (given: string | undefined, expected: string): boolean =>
    given !== undefined && timingSafeEqual(Buffer.from(sha256Hex(given)), Buffer.from(sha256Hex(expected)));

/** What nodes ask of each other. */
export const createPeerRouter = (node: NodeContext) => {
    const guarded = t.procedure.use(({ ctx, next }) => {
        if (!isSameSecret(ctx.secret, node.cfg.peerSecret)) {
            emit(EventId.PeerRefused);
            throw new TRPCError({ code: "UNAUTHORIZED", message: "the peer secret is wrong" });
        }
        return next();
    });
    return t.router({
        /** Takes the sender's parts and answers with the parts that it lacks. */
        exchange: guarded.input(digestMessage).mutation(({ input }): DigestMessage => {
            node.digests.merge(input.parts as DigestPart[]);
            return node.digests.message(input.summary);
        }),
        /** Takes parts that the sender found lacking here. */
        push: guarded.input(digestMessage.pick({ parts: true })).mutation(({ input }) => node.digests.merge(input.parts as DigestPart[])),
        /** Changes after a sequence; undefined where they are no longer kept. */
        changesSince: guarded.input(z.number().int()).query(({ input }) => node.config.changesSince(input)),
        /** The whole configuration in force. */
        snapshot: guarded.query(() => node.config.snapshot()),
    });
};

/** Type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
