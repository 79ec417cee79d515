/** Tests that the documentation pages match the code. */
package org.cornelway.docs;
