/** Outcome of one try of something that may not be possible yet. */
export type TryResult<T> =
    | { readonly kind: "done"; readonly value: T; }
    /** The reason may pass by itself: the same try can succeed later. */
    | { readonly kind: "waiting"; readonly reason: string; };
