/** Schema of every settings key. */
export {}
