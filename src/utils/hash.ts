import { createHash } from "node:crypto";

/** SHA-256 of a string in lower-case hexadecimal. */
export const sha256Hex = (text: string): string => createHash("sha256").update(text).digest("hex");

/** A number from 0 to below 1 that is the same for the same text. */
export const hashToUnit = (text: string): number => createHash("md5").update(text).digest().readUInt32BE(0) / 2 ** 32;

const weight = (member: string, key: string): number => createHash("md5").update(`${member}\n${key}`).digest().readUInt32BE(0);

/** The members by descending rendezvous-hashing weight for a key; few keys move when members are added or removed. */
export const rankByHash = (key: string, members: readonly string[]): readonly string[] =>
    members
        .map(member => ({ member, weight: weight(member, key) }))
        .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
        .map(({ member }) => member);

/** Maximum number of cached rankings, one for each key and member list. */
const maxCachedRankings = 16_384;
const cachedRankings = new Map<string, readonly string[]>();

/** Like rankByHash, with the ranking cached; for members that seldom change. */
export const rankByHashCached = (key: string, members: readonly string[]): readonly string[] => {
    const cacheKey = `${key}\n${members.join(" ")}`;
    let ranking = cachedRankings.get(cacheKey);
    if (!ranking) {
        if (cachedRankings.size >= maxCachedRankings) {
            cachedRankings.clear();
        }
        ranking = rankByHash(key, members);
        cachedRankings.set(cacheKey, ranking);
    }
    return ranking;
};

/** The member that owns a key. */
export const ownerOf = (key: string, members: readonly string[]): string | undefined => rankByHashCached(key, members)[0];
