/** The rows that a node knows, its own membership, and how rows spread. Charts {@code member} and {@code reading}. */
package org.verbenamast.core.membership;
