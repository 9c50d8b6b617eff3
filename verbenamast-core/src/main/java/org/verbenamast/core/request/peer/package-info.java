/**
 * Health of the members that this node sends requests to: parks members that fail repeatedly, and probes them. Chart
 * {@code health}.
 */
package org.verbenamast.core.request.peer;
