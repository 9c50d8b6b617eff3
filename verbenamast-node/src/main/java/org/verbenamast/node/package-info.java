/** Part of verbenamast. */
package org.verbenamast.node;
