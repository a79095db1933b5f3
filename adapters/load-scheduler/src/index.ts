/** Order, sharing, back-off and prefetch of loads. */
export {}
