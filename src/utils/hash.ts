import { createHash } from "node:crypto";

/** SHA-256 of a text in lower-case hexadecimal. */
export const sha256Hex = (text: string): string => createHash("sha256").update(text).digest("hex");

const weight = (member: string, key: string): number => createHash("md5").update(`${member}\n${key}`).digest().readUInt32BE(0);

/** The members in the order in which rendezvous hashing prefers them for a key; few keys move when members come or go. */
export const rankByHash = (key: string, members: readonly string[]): readonly string[] =>
    members
        .map(member => ({ member, weight: weight(member, key) }))
        .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
        .map(({ member }) => member);

/** Orders kept for keys that are asked for again and again with the same members. */
const maxRemembered = 16_384;
const remembered = new Map<string, readonly string[]>();

/** Like rankByHash, remembering the order; for members that seldom change. */
export const rankByHashCached = (key: string, members: readonly string[]): readonly string[] => {
    const name = `${key}\n${members.join(" ")}`;
    let order = remembered.get(name);
    if (!order) {
        if (remembered.size >= maxRemembered) {
            remembered.clear();
        }
        order = rankByHash(key, members);
        remembered.set(name, order);
    }
    return order;
};

/** The member that owns a key. */
export const ownerOf = (key: string, members: readonly string[]): string | undefined => rankByHashCached(key, members)[0];
