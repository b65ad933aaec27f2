import { rankByHash } from "../utils/hash";

/** Changes of each kind that are remembered; a forgotten one counts as a change for all keys. */
const maxChanges = 512;

/** Members that joined or left a list, with the times, on the monotonic clock. */
class MemberChanges {
    private readonly changedAt = new Map<string, number>();
    /** Time of the latest change that was forgotten. */
    private forgottenAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    static create(): MemberChanges {
        return new MemberChanges();
    }

    add(member: string, at: number): void {
        this.changedAt.delete(member);
        this.changedAt.set(member, at);
        if (this.changedAt.size > maxChanges) {
            const [oldest, oldestAt] = this.changedAt.entries().next().value!;
            this.changedAt.delete(oldest);
            this.forgottenAt = oldestAt;
        }
    }

    /** The latest change of a member that ranks before a node for a key. */
    latestBefore(self: string, key: string): number {
        let latest = this.forgottenAt;
        for (const [member, at] of this.changedAt) {
            if (at > latest && rankByHash(key, [self, member])[0] === member) {
                latest = at;
            }
        }
        return latest;
    }
}

/** Since when a node has had its rank for keys among the members of a list that changes. */
export class RankHistory {
    private readonly joined = MemberChanges.create();
    private readonly left = MemberChanges.create();
    private members: ReadonlySet<string> | undefined;
    /** When the first list was known, on the monotonic clock. */
    knownSince = Number.POSITIVE_INFINITY;

    private constructor(private readonly self: string) {}

    /** Creates the history of a node that knows no list yet. */
    static create(self: string): RankHistory {
        return new RankHistory(self);
    }

    /** Records the members that are known now. */
    update(addresses: readonly string[]): void {
        const now = performance.now();
        const members = new Set(addresses);
        if (this.members) {
            const before = this.members;
            before.forEach(member => !members.has(member) && this.left.add(member, now));
            members.forEach(member => !before.has(member) && this.joined.add(member, now));
        }
        else {
            this.knownSince = now;
        }
        this.members = members;
    }

    /** Since when this node has ranked first for a key, if it does now: since the last member that ranks before it left. */
    firstSince(key: string): number {
        return Math.max(this.knownSince, this.left.latestBefore(this.self, key));
    }

    /** Since when the same members have ranked before this node for a key. */
    rankSince(key: string): number {
        return Math.max(this.firstSince(key), this.joined.latestBefore(this.self, key));
    }
}
