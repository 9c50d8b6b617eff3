/** The last transitions that the charts of a node took. */
package org.verbenamast.core.trace;
