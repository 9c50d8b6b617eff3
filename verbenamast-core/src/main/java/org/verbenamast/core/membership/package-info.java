/**
 * The rows that a node knows, the node's own membership, and the gossip that replicates rows between members. Charts
 * {@code member} and {@code reading}.
 */
package org.verbenamast.core.membership;
