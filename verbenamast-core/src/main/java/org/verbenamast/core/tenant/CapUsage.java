package org.verbenamast.core.tenant;

/**
 * What a node holds and has used of a tenant's cap.
 *
 * @param tokens the tokens that it holds
 * @param admitted the requests that got a token since the node started
 * @param refused the requests that were refused beyond the cap, or because no bank answered
 */
public record CapUsage(double tokens, long admitted, long refused) {}
