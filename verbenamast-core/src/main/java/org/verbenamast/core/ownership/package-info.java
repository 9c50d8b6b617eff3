/** The slices that a node owns: claims, planned moves and hand-overs. Chart {@code slice}. */
package org.verbenamast.core.ownership;
