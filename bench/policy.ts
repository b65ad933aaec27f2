export const benchPolicy = (): void => undefined;
