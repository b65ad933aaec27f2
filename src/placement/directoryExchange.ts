import type { UpstreamDirectory } from "../core/upstreamDirectory";
import type { PeerAnswer } from "../types/placement";
import type { StoreVersion } from "../types/storeVersion";

/** The part of an answer to a report that concerns the directory. */
type DirectoryAnswer = Pick<PeerAnswer, "directoryVersion" | "changes" | "isWholeDirectory">;

/** What a peer lacks that knows the directory up to a version. */
export const serveDirectory = (directory: UpstreamDirectory, knownVersion: StoreVersion): DirectoryAnswer => {
    const directoryVersion = directory.appliedVersion;
    if (directory.version <= knownVersion) {
        return { directoryVersion, changes: [] };
    }
    if (directory.hasChangesSince(knownVersion)) {
        return { directoryVersion, changes: directory.changesSince(knownVersion) };
    }
    return { directoryVersion, changes: directory.changesSince(0).filter(({ server }) => server), isWholeDirectory: true };
};

/** Applies what a peer knows of the directory. */
export const applyDirectory = (directory: UpstreamDirectory, { directoryVersion, changes, isWholeDirectory }: DirectoryAnswer): void => {
    if (isWholeDirectory) {
        directory.replace(changes, directoryVersion, 0);
        return;
    }
    changes.forEach(change => directory.apply(change));
    // Before the first whole directory, changes alone do not make it complete.
    if (directory.version > 0) {
        directory.version = Math.max(directory.version, directoryVersion);
    }
};
