/** Tests of the roles' parts. */
package org.cornelway.role;
