import type { KeyFault } from "./keyFault";

/** The key of a request: its digest, or why there is none. */
export type PresentedKey = { readonly digest: string; } | { readonly fault: KeyFault; };
