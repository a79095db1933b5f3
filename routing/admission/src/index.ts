/** Classes, deadlines and per-caller limits. */
export {}
