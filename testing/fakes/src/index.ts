/** Small fake engine, service and platform over HTTP. */
export {}
