/** Inheriting settings trees with revisions. */
export {}
