/**
 * The path of requests that callers send over the product's own interface: routing, retries and hedges at the entry
 * node, the node that received the request from its caller. Chart {@code entry}. Requests from the users' platform take
 * the path in {@code core.entry}.
 */
package org.verbenamast.core.request;
