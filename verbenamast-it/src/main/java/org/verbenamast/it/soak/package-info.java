/** A randomized soak: real programs under faults from outside, checked by what callers and backend servers saw. */
package org.verbenamast.it.soak;
