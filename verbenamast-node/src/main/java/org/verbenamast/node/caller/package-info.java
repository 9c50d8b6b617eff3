/** The HTTP front for callers. */
package org.verbenamast.node.caller;
