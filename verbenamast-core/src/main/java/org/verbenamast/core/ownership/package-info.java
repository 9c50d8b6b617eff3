/** The slices that a node owns: claims, take-overs, planned moves and hand-overs. Chart {@code slice}. */
package org.verbenamast.core.ownership;
