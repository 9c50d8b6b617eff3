/** Logs and metrics for operators; each decision that ends a request is counted, and failures are always logged. */
package org.verbenamast.relay.telemetry;
