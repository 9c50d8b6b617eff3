/** What a node tells those who run it: one log line for each decision that touches a request. */
package org.verbenamast.relay.telemetry;
