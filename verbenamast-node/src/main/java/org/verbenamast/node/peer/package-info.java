/** Links between members. Chart {@code link}. */
package org.verbenamast.node.peer;
